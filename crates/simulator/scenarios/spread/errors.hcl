# As calm.hcl, but a third of each partner's endpoints responds with an error at once for eight seconds.
couriers  = 300
seconds   = 30
rate      = 600
skew      = 0.5
report_ms = 500

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
partner "bank" {
  copies        = 2
  share         = 0.3
  endpoints     = 2
  servers       = 12
  limit         = 95
  refused_count = true
  tells_wait    = true
}
partner "counted" {
  copies     = 2
  share      = 0.25
  endpoints  = 3
  servers    = 8
  limit      = 80
  span       = 1
  tells_wait = true
}
partner "employer" {
  copies    = 3
  share     = 0.25
  endpoints = 4
  servers   = 3
}
partner "uneven" {
  copies    = 1
  share     = 0.2
  endpoints = 6
  servers   = 2
  pace      = [1, 20]
  apart     = true
  limit     = 200
}
trouble "errors in a millisecond" {
  kind  = "errors"
  at    = 8
  lasts = 8
  size  = 0.3
}
