# A payday with many overlapping faults of partners, receipts and gateways. Times are in seconds.
messages = 5000
rate     = 380
couriers = 3
drops    = 0.02

class "salary-payment" {
  share    = 0.4
  effect   = "unsafe"
  aim      = 1
  deadline = 6
  worth    = 3
}
class "pay-notice" {
  share    = 0.4
  effect   = "keyed"
  window   = 5
  in_order = true
  keys     = 300
  aim      = 1
  deadline = 6
}
class "pay-status" {
  share    = 0.2
  effect   = "safe"
  aim      = 1
  deadline = 6
}

partner "bank-north" {
  share     = 0.25
  servers   = 8
  encrypted = true
}
partner "bank-south" {
  share   = 0.2
  servers = 6
}
partner "bank-east" {
  share      = 0.15
  servers    = 6
  limit      = 120
  tells_wait = true
}
partner "bayside-hr" {
  share   = 0.12
  servers = 5
}
partner "doctors-cove" {
  share   = 0.08
  servers = 4
  batch   = 4
}
partner "hopewell" {
  share    = 0.08
  servers  = 4
  deferred = true
}
partner "rosehall-hr" {
  share      = 0.12
  servers    = 5
  tells_wait = true
}

trouble "bank-north takes messages and never answers" {
  kind    = "silent"
  partner = "bank-north"
  at      = 2
  lasts   = 2.5
  sway    = 1
}
trouble "bank-south loses answers halfway" {
  kind    = "lose-answers"
  partner = "bank-south"
  size    = 0.3
  at      = 3
  lasts   = 3
  sway    = 1
}
trouble "bayside-hr refuses connections" {
  kind    = "refuse"
  partner = "bayside-hr"
  at      = 4
  lasts   = 2
  sway    = 1
}
trouble "rosehall-hr is shut and tells until when" {
  kind    = "shut"
  partner = "rosehall-hr"
  at      = 5
  lasts   = 2
  sway    = 1
}
trouble "bank-east answers slowly" {
  kind    = "slow"
  partner = "bank-east"
  size    = 6
  at      = 6
  lasts   = 2
  sway    = 1
}
trouble "doctors-cove cuts requests off" {
  kind    = "reset"
  partner = "doctors-cove"
  at      = 7
  lasts   = 1.5
  sway    = 1
}
trouble "hopewell sends receipts twice" {
  kind    = "twice"
  partner = "hopewell"
  at      = 1
  lasts   = 5
}
trouble "bank-south answers errors quickly" {
  kind    = "errors"
  partner = "bank-south"
  size    = 0.5
  at      = 8
  lasts   = 1.5
}
trouble "an endpoint of bank-north drains" {
  kind     = "drain"
  partner  = "bank-north"
  endpoint = 1
  at       = 5.5
  lasts    = 4
}
trouble "a courier is killed" {
  kind    = "kill"
  courier = 2
  at      = 6
  lasts   = 1.5
  sway    = 1
}
trouble "everybody hands in at once" {
  kind  = "burst"
  size  = 1.8
  at    = 8
  lasts = 1.5
}
