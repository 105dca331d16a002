-- Guards against a host that can't start, or starts with an old configuration,
-- while the store is away, and against edits that don't arrive afterwards.
deploy{hosts = 3}
local session = new_session()

local function edit(name, changes)
  local folder = runner.write_file(name .. "/base.jsonc", base_text(changes))
    :match("^(.*)/base.jsonc$")
  return run("ctl-" .. name, "packages/nutmegloomctl/nutmegloomctl", {
    "--platform", deployment.platform, "--comment", name, "apply", folder,
  })
end

local function wait_version(version)
  for _, host in ipairs(host_names()) do
    wait_until(host .. " has version " .. version, function()
      local page = status(host)
      return page and page.configuration.version == version
    end)
  end
end

expect_equal(0, (edit("second", {limits = {connections = 2048}})),
  "edit before the outage")
wait_version(2)

outage(true)
expect_run(write("host1", session, {op = "put", key = "k", value = 1}),
  "write during the outage")
kill("host2")
start_host("host2")
wait_host("host2")
expect_equal(2, status("host2").configuration.version,
  "version of the restarted host")
local answer = read_until_run("host2", session, "k")
expect_equal(1, answer.result, "value that the restarted host reads")

outage(false)
expect_equal(0, (edit("third", {limits = {connections = 1024}})),
  "edit after the outage")
wait_version(3)
