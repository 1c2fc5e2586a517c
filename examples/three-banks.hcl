# Three banks. If Kingston or Montego Bay is lost, two of them share the other zone. Plan their capacity with:
#
#   cloverstile plan --two examples/three-banks.hcl
#
# This command does not read the key and certificate files.
zones = ["kingston", "montego-bay", "nassau"]

# Rate limit of the line into Montego Bay, for all partners together, in requests per second.
zone "montego-bay" { rate = 260 }

courier {
  name        = "courier-0"
  key         = "courier-0.key"
  certificate = "courier-0.crt"
  couriers    = 8
  place       = 0
  zone        = "kingston"
}

front {
  listen = "127.0.0.1:4080"
}

class "salary-payment" {
  effect   = "unsafe"
  aim      = "3s"
  deadline = "30s"
}

partner "alpha" {
  certificate = "alpha.crt"
  rate        = 240
  wanted      = 180
  worth       = 3
  spill_share = 0.5
  tier "kingston"    { rate = 240 }
  tier "montego-bay" { rate = 150 }
  endpoint "k1" {
    address = "127.0.0.1:5001"
    zone    = "kingston"
  }
  endpoint "m1" {
    address = "127.0.0.1:5002"
    zone    = "montego-bay"
  }
}

partner "beta" {
  certificate = "beta.crt"
  rate        = 200
  wanted      = 140
  spill_share = 1
  tier "kingston"    { rate = 200 }
  tier "montego-bay" { rate = 200 }
  endpoint "k1" {
    address = "127.0.0.1:5003"
    zone    = "kingston"
  }
  endpoint "m1" {
    address = "127.0.0.1:5004"
    zone    = "montego-bay"
  }
}

partner "gamma" {
  certificate = "gamma.crt"
  rate        = 80
  wanted      = 60
  endpoint "n1" {
    address = "127.0.0.1:5005"
    zone    = "nassau"
  }
}
