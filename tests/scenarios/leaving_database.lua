-- Guards against new work on a database that the host list says is leaving,
-- and against a group without a primary when the leaving one is the primary.
deploy{hosts = 2}
local session = new_session()
expect_run(write("host1", session, {op = "put", key = "k", value = 1}),
  "write before")

local function all_hosts_know(name)
  for _, host in ipairs(host_names()) do
    local page = status(host)
    for _, group in ipairs(page and page.groups or {}) do
      for _, member in ipairs(group.members) do
        if group.active and member.database == name and not member.leaving then
          return false
        end
      end
    end
    if not page then
      return false
    end
  end
  return true
end

local function executed(name)
  return counters(name).executed_statements or 0
end

put_host_list{["d0-2"] = true}
wait_until("all hosts know that d0-2 leaves", function()
  return all_hosts_know("d0-2") and #database_status("d0-2").executing == 0
end)
local before = executed("d0-2")
for number = 1, 100 do
  local host = "host" .. 1 + number % 2
  expect_run(read(host, session, "k", {max_age_ms = 10000}), "read " .. number)
end
expect_equal(before, executed("d0-2"), "statements on the leaving database")

put_host_list{["d0-2"] = true, ["d0-1"] = true}
wait_until("the primary role has moved to d0-3", function()
  return true_primary(0) == "d0-3"
end)
write_until_run("host2", session, {op = "put", key = "k", value = 2})
local answer = read_until_run("host1", session, "k")
expect_equal(2, answer.result, "value after the move")
