-- Guards against a host that was paused past its leases and returns answers
-- that are no longer true, while the primary changes in the meantime.
deploy{hosts = 3}
start_history{operations = 120, seed = 14}
wait_history(100)
pause("host1")
kill("d0-1")
wait_until("another database is primary", function()
  local primary, term = true_primary(0)
  return primary and term > 1
end)
continue("host1")
start_database("d0-1")
wait_until("host1 knows the new primary", function()
  local primary = primary_of("host1")
  return primary and primary ~= "d0-1"
end)
check_history()
