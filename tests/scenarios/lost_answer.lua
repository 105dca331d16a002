-- Guards against a write that runs twice, or is reported as not run, when the
-- database executes it and its answer is lost before or within its bytes.
deploy{hosts = 2}
local session = new_session()
for number = 1, 6 do
  lose_answer("d0-1", 1 + number % 2)
  local answer = write("host" .. 1 + number % 2, session,
    {op = "add", key = "sum", value = 1})
  expect_run(answer, "write " .. number .. " whose answer was lost")
  expect_equal(number, answer.result, "sum after write " .. number)
end
local answer = expect_run(read("host1", session, "sum"), "last read")
expect_equal(6, answer.result, "sum of all writes")
