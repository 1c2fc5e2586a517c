# 200 gateway instances, 250 banks with two sites each, 1,000 endpoints. A zone outage takes down the preferred sites
# of 50 banks at once.
couriers = 200
seconds  = 30
rate     = 3000
skew     = 0.5

class "salary-payment" {
  share    = 0.4
  effect   = "unsafe"
  aim      = 2
  deadline = 12
  worth    = 3
}
class "pay-notice" {
  share    = 0.4
  effect   = "keyed"
  in_order = true
  keys     = 200
  window   = 8
  aim      = 3
  deadline = 12
}
class "payslip" {
  share    = 0.2
  effect   = "keyed"
  group    = "zone"
  window   = 8
  aim      = 3
  deadline = 12
}
bank "struck" {
  copies      = 50
  share       = 0.2
  spill_share = 0.8
  site "north" {
    tier       = 0
    servers    = 2
    service_ms = [10, 20]
  }
  site "south" {
    tier       = 1
    servers    = 1
    service_ms = [40, 60]
  }
}
bank "unharmed" {
  copies      = 200
  share       = 0.8
  spill_share = 0.8
  site "north" {
    tier       = 0
    servers    = 2
    service_ms = [10, 20]
  }
  site "south" {
    tier       = 1
    servers    = 1
    service_ms = [40, 60]
  }
}
trouble "the zone is gone" {
  kind  = "refuse"
  bank  = "struck"
  tier  = 0
  at    = 6
  sway  = 1
  lasts = 6
}
