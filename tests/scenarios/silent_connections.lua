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
for number = 1, 4 do
  expect_run(finish_request(started[number]),
    "write " .. number .. " on silent connections")
end
local answer = expect_run(read("host2", session, "sum"), "last read")
expect_equal(12, answer.result, "sum of all writes")
expect_equal(1, database_status("d0-1").term, "term of the primary")
