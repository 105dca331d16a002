-- Guards against lost, repeated or wrongly reported writes when the primary
-- is killed under load, and against a group that doesn't come back.
deploy{hosts = 3}
start_history{operations = 80, seed = 11}
wait_history(100)
kill("d0-1")
wait_until("another database is primary", function()
  local primary, term = true_primary(0)
  return primary and term > 1
end)
start_database("d0-1")
wait_until("the old primary follows the new one", function()
  local found = database_status("d0-1")
  local _, term = true_primary(0)
  return found and found.role == "replica" and found.term == term
end)
check_history()
