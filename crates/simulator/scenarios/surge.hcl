# A bank's preferred site goes down and recovers, with a warm-up, during a payday burst.
couriers = 8
seconds  = 40
rate     = 400

class "salary-payment" {
  share    = 0.4
  effect   = "unsafe"
  aim      = 1
  deadline = 10
  worth    = 3
}
class "pay-notice" {
  share    = 0.4
  effect   = "keyed"
  in_order = true
  keys     = 500
  window   = 8
  aim      = 2
  deadline = 10
}
class "payslip" {
  share    = 0.2
  effect   = "keyed"
  group    = "zone"
  window   = 8
  aim      = 2
  deadline = 12
}
bank "alpha" {
  share       = 1
  spill_share = 0.6
  ramp        = 10
  site "north" {
    tier      = 0
    servers   = 12
    endpoints = 4
  }
  site "south" {
    tier    = 1
    servers = 5
  }
}
trouble "the north is gone" {
  kind  = "refuse"
  tier  = 0
  at    = 8
  sway  = 1
  lasts = 6
}
trouble "payday" {
  kind  = "burst"
  size  = 1.3
  at    = 12
  lasts = 15
}
