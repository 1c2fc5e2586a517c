# A bank with two zones loses the preferred one during a payday. The zone recovers with reduced capacity and warms up.
messages = 3000
rate     = 200
couriers = 3

class "salary-payment" {
  share    = 0.5
  effect   = "unsafe"
  aim      = 1
  deadline = 8
  worth    = 3
}
class "pay-notice" {
  share    = 0.5
  effect   = "keyed"
  group    = "zone"
  window   = 6
  in_order = true
  keys     = 300
  aim      = 1
  deadline = 8
}
partner "bank" {
  share       = 1
  servers     = 8
  endpoints   = 4
  zones       = [0, 0, 1, 1]
  spill_share = 0.3
}
trouble "the first site is gone" {
  kind    = "refuse"
  partner = "bank"
  zone    = 0
  at      = 3
  lasts   = 3
  sway    = 1
}
