-- Guards against a planned stop that cuts a request in progress or ends with
-- an error, and against lost work while callers move to other hosts.
deploy{hosts = 3}
start_history{operations = 80, seed = 13}
local long = start_request{
  host = "host2", session = new_session(), kind = "write",
  statement = {op = "put", key = "long", value = 1, work_ms = 3000},
}
wait_until("the long statement is executing", function()
  return #database_status("d0-1").executing > 0
end)
wait_history(50)
stop("host2")
wait_until("the stopping host reports that it isn't ready", function()
  local result = http{address = deployment.hosts.host2.caller, path = "/readyz"}
  expect(result.status, "the host answers while a request is in progress")
  return result.status == 503
end)
expect_run(finish_request(long), "request in progress at the stop")
expect_equal(0, wait_exit("host2"), "exit code of the stopped host")
check_history()
local session = new_session()
local answer = expect_run(read("host1", session, "long"), "read afterwards")
expect_equal(1, answer.result, "value of the request in progress")
