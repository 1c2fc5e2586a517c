# No faults: a baseline for the cost of the gateways alone.
messages = 2000
rate     = 300
couriers = 3

class "salary-payment" {
  share    = 0.5
  effect   = "unsafe"
  aim      = 1
  deadline = 6
  worth    = 3
}
class "pay-notice" {
  share    = 0.5
  effect   = "keyed"
  window   = 5
  in_order = true
  aim      = 1
  deadline = 6
}
partner "bank-north" {
  share     = 0.6
  servers   = 10
  encrypted = true
}
partner "bayside-hr" {
  share   = 0.4
  servers = 8
}
