-- Guards against requests that hang, run twice or are reported wrongly when
-- the open connections to the primary become permanently unresponsive while
-- new ones work.
deploy{hosts = 2}
local session = new_session()
for number = 1, 8 do
  expect_run(write("host1", session, {op = "add", key = "sum", value = 1}),
    "write " .. number .. " before")
end
silence("d0-1")
local started = {}
for number = 1, 4 do
  started[number] = start_request{
    host = "host" .. 1 + number % 2, session = new_session(), kind = "write",
    statement = {op = "add", key = "sum", value = 1}, timeout_ms = 20000,
  }
end
-- A request that reached a silent connection may be closed as "not run", but
-- every outcome must be known and true.
local ran = 8
for number = 1, 4 do
  local answer = finish_request(started[number])
  expect(answer.outcome == "run" or answer.outcome == "not_run",
    "known outcome of write " .. number .. ": " .. runner.encode(answer))
  if answer.outcome == "run" then
    ran = ran + 1
  end
end
for number = 1, 4 do
  expect_run(write("host" .. 1 + number % 2, session,
    {op = "add", key = "sum", value = 1}), "write " .. number .. " afterwards")
end
local answer = expect_run(read("host2", session, "sum"), "last read")
expect_equal(ran + 4, answer.result, "sum of the writes that ran")
expect_equal(1, database_status("d0-1").term, "term of the primary")
