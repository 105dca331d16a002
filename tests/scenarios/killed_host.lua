-- Guards against a write that is lost, runs twice or is reported wrongly when
-- the host that serves it is killed and its caller sends it to another one.
deploy{hosts = 3}
start_history{operations = 120, seed = 15}
for number = 1, 3 do
  wait_history(100 * number)
  kill("host" .. number)
  start_host("host" .. number)
  wait_host("host" .. number)
end
check_history()
