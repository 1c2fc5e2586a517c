# A site goes down, recovers and has to warm up during a payday burst: eight gateway instances, all four policies.
seeds = 100
scenario "surge" {}
