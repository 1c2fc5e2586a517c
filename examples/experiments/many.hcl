# 200 gateway instances and 1,000 endpoints; a zone outage takes down the preferred sites of 50 banks. Only the planner,
# for the distribution of the load over 100 ms windows.
seeds    = 100
policies = ["planner"]
scenario "many" {}
