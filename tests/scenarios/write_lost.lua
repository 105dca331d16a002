-- Guards against a session that is silently served older data when its write
-- is gone: here both databases that held the write lose their data.
deploy{hosts = 2}
local session = new_session()
lag("d0-3", 3600000)
expect_run(write("host1", session, {op = "put", key = "k", value = 1}), "write")
kill("d0-1")
kill("d0-2")
runner.write_file("d0-2.journal", "")
-- What d0-3 has fetched but not received is dropped when it is fenced; from
-- then on it must follow, or the new term is never held by a majority.
lag("d0-3", 0)
start_database("d0-2")
wait_until("another database is primary", function()
  local primary, term = true_primary(0)
  return primary and term > 1
end)
local told = wait_until("the session is told", function()
  local answer = read("host2", session, "k", {timeout_ms = 2000})
  expect(answer.outcome ~= "run", "the session gets no older data")
  return answer.code == "write_lost" and answer
end)
expect_equal(409, told.status, "status of the lost write")
local answer = read_until_run("host2", new_session(), "k")
expect_equal(nil, answer.result, "value that a new session reads")
