-- Guards against writes that a replaced primary acknowledges while it is cut
-- off and still believes that it is primary.
deploy{hosts = 3}
start_history{operations = 80, seed = 12}
wait_history(100)
cut_all("d0-1")
wait_until("another database is primary", function()
  for _, name in ipairs{"d0-2", "d0-3"} do
    local found = database_status(name)
    if found and found.role == "primary" then
      return true
    end
  end
end)
cut("d0-1", {})
wait_until("the old primary follows and has the new log", function()
  local old = database_status("d0-1")
  local primary = true_primary(0)
  local new = primary and database_status(primary)
  return old and new and old.role == "replica" and old.term == new.term
    and old.log_term == new.log_term and old.received == new.received
end)
check_history()
