# 1,000 gateway instances and 5,000 endpoints of 500 partners; each instance gets a message every half second.
couriers = 1000
seconds  = 20
rate     = 2000
skew     = 0.5

class "salary-payment" {
  share    = 0.45
  effect   = "unsafe"
  aim      = 3
  deadline = 12
  worth    = 3
}
class "pay-notice" {
  share    = 0.55
  effect   = "keyed"
  window   = 8
  aim      = 3
  deadline = 12
}
partner "large" {
  copies     = 20
  share      = 0.6
  endpoints  = 58
  servers    = 1
  limit      = 80
  span       = 1
  tells_wait = true
}
partner "small" {
  copies    = 480
  share     = 0.4
  endpoints = 8
  servers   = 1
  limit     = 5
}
