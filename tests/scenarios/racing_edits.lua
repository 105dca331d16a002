-- Guards against two edits that are valid alone but not together being both
-- accepted, against an edit that is undone by a concurrent one, and against a
-- lost answer of the store that is reported wrongly.
deploy{hosts = 2}

local function start_edit(name, arguments)
  local all = {"--platform", deployment.platform, "--comment", name,
               "--editor", name, "apply"}
  for _, argument in ipairs(arguments) do
    all[#all + 1] = argument
  end
  runner.start("ctl-" .. name, "packages/nutmegloomctl/nutmegloomctl", all)
end

local function stored()
  local result = http{address = deployment.platform,
    path = "/v1/objects/configuration/head"}
  return runner.decode(result.text)
end

-- One edit removes a class; the other gives that class a weight at a site.
local base = runner.decode(base_text())
base.classes.clerks = nil
local without_class = runner.write_file("race/base.jsonc", runner.encode(base))
local with_class = runner.write_file(
  "race/overlays/lima-miraflores.jsonc",
  runner.encode{classes = {clerks = {weight = 2}}})
-- A slow store lets both edits read the same version before either writes.
slow_store(200)
start_edit("removes", {without_class})
start_edit("uses", {with_class})
local codes = {wait_exit("ctl-removes"), wait_exit("ctl-uses")}
expect((codes[1] == 0) ~= (codes[2] == 0),
  "exactly one edit is accepted, not " .. runner.encode(codes))
local head = stored()
expect_equal(2, head.version, "version after the race")
local has_overlay = head.overlays["lima-miraflores"] ~= nil
expect_equal(codes[2] == 0, has_overlay, "the accepted edit is stored")

-- Edits that are valid together are both kept.
local overlay = runner.write_file("both/overlays/lima-sanisidro.jsonc",
  runner.encode{limits = {connections = 512}})
local other = runner.write_file("both/overlays/arequipa-cercado.jsonc",
  runner.encode{limits = {connections = 256}})
start_edit("one", {overlay})
start_edit("two", {other})
expect_equal(0, wait_exit("ctl-one"), "first edit")
expect_equal(0, wait_exit("ctl-two"), "second edit")
head = stored()
expect(head.overlays["lima-sanisidro"] and head.overlays["arequipa-cercado"],
  "both edits are stored")

slow_store(0)

-- The store makes the change but its answer is lost.
lose_answer("platform", 1)
local last = runner.write_file("lost/overlays/lima-sanisidro.jsonc",
  runner.encode{limits = {connections = 600}})
start_edit("lost", {last})
expect_equal(0, wait_exit("ctl-lost"), "edit whose answer was lost")
expect_equal(5, stored().version, "the edit was made once")
for _, host in ipairs(host_names()) do
  wait_until(host .. " has version 5", function()
    local page = status(host)
    return page and page.configuration.version == 5
  end)
end
