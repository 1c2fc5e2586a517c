# Receipts that must not count: with the MIC of other content, signed with another key, late, or duplicated.
messages = 1500
rate     = 250
couriers = 3
drops    = 0.05

class "salary-payment" {
  share    = 0.5
  effect   = "unsafe"
  aim      = 1
  deadline = 5
  worth    = 3
}
class "pay-notice" {
  share    = 0.5
  effect   = "keyed"
  window   = 3
  in_order = true
  keys     = 150
  aim      = 1
  deadline = 5
}
partner "bank-north" {
  share    = 0.3
  servers  = 8
  deferred = true
}
partner "bank-south" {
  share   = 0.3
  servers = 8
}
partner "bayside-hr" {
  share    = 0.2
  servers  = 6
  deferred = true
}
partner "rosehall-hr" {
  share   = 0.2
  servers = 6
}
trouble "bank-north's receipts come after the deadline" {
  kind    = "late-receipts"
  partner = "bank-north"
  size    = 7
  at      = 1
  lasts   = 1.5
}
trouble "bank-south's receipts are for other bytes" {
  kind    = "wrong-mic"
  partner = "bank-south"
  at      = 2
  lasts   = 1.5
}
trouble "bayside-hr's receipts come twice" {
  kind    = "twice"
  partner = "bayside-hr"
  at      = 0.5
  lasts   = 5
}
trouble "rosehall-hr's receipts are signed by another" {
  kind    = "wrong-signer"
  partner = "rosehall-hr"
  at      = 3
  lasts   = 1
}
trouble "bank-south drops idle connections unseen" {
  kind    = "reap"
  partner = "bank-south"
  size    = 0.05
  at      = 4
  lasts   = 1.5
}
trouble "a courier is told to stop at full load" {
  kind    = "stop"
  courier = 1
  at      = 2.5
  lasts   = 4.5
}
