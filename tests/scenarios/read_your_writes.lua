-- Guards against a session that reads data older than its own write after it
-- has moved to another host, while the replicas are 500 ms behind.
deploy{hosts = 2}
lag("d0-2", 500)
lag("d0-3", 500)
local session = new_session()
for number = 1, 20 do
  local writer = number % 2 == 0 and "host1" or "host2"
  local reader = number % 2 == 0 and "host2" or "host1"
  expect_run(write(writer, session, {op = "put", key = "k", value = number}),
    "write " .. number)
  local answer = read(reader, session, "k")
  expect_run(answer, "read " .. number)
  expect_equal(number, answer.result, "value that the session reads")
  local aged = read(reader, session, "k", {max_age_ms = 10000})
  expect_run(aged, "read " .. number .. " with a stated age")
  expect_equal(number, aged.result, "value of a read with a stated age")
end
