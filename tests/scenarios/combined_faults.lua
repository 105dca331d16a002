-- Guards against faults that are handled alone but not together: a lagging
-- replica, lost answers, silent connections, a store outage, a killed host and
-- two failures of the primary in one history.
deploy{hosts = 3, groups = 2}
start_history{operations = 250, seed = 16, callers = 12}
lag("d0-3", 300)
lose_answer("d0-1", 4)
lose_answer("d1-1", 4)
wait_history(200)
outage(true)
silence("d1-1")
kill("d0-1")
wait_until("group 0 has another primary", function()
  local primary, term = true_primary(0)
  return primary and term > 1
end)
kill("host2")
start_host("host2")
wait_host("host2")
start_database("d0-1")
local second, term = true_primary(0)
wait_until("the old primary follows", function()
  local found = database_status("d0-1")
  return found and found.role == "replica" and found.term == term
end)
cut_all(second)
wait_until("group 0 has a third primary", function()
  return promoted_instead_of(second, 0, term)
end)
cut(second, {})
outage(false)
check_history()
