//! A rig on loopback: fresh keys, settings, stand-in partners and clients around real couriers. For the demo,
//! the laboratory and tests over sockets; nothing of a running service is here.

use crate::directory::LoadError;
use crate::service::ServiceError;
use cloverstile_as2::{new_station, As2Error, Certificate, Identity, NewKey};
use cloverstile_fakes::client::GatewaySet;
use cloverstile_fakes::model::ServerProfile;
use cloverstile_fakes::partner::{FakePartner, Partners};
use cloverstile_fakes::record::Recorder;
use std::collections::{BTreeSet, HashMap};
use std::fmt::Write as _;
use std::fs;
use std::io::{self, Write as _};
use std::net::SocketAddr;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;

/// Why a rig could not be built.
#[derive(Debug, thiserror::Error)]
pub enum TestClusterError {
    /// Files or sockets.
    #[error("rig: {0}")]
    Io(#[from] io::Error),
    /// Keys.
    #[error("rig: {0}")]
    Key(#[from] As2Error),
    /// Settings that don't load.
    #[error("rig: {0}")]
    Load(#[from] LoadError),
    /// A courier that does not start.
    #[error("rig: {0}")]
    Service(#[from] ServiceError),
    /// A courier process that does not come up.
    #[error("rig: courier {0} did not start")]
    Start(usize),
}

/// A partner of the rig.
#[derive(Clone, Debug)]
pub struct PartnerSpec {
    /// Name.
    pub name: String,
    /// Kind, as in the settings.
    pub kind: String,
    /// What it is like.
    pub profile: ServerProfile,
    /// Zone of each endpoint, by number.
    pub zones: Vec<usize>,
    /// What key it has; content is encrypted for it where that is RSA.
    pub key: NewKey,
    /// Its receipts come on connections of their own.
    pub deferred: bool,
    /// The couriers hold another certificate than its own.
    pub mismatched: bool,
    /// Its zones are tiers in their order, and this share spills; none: all endpoints are alike.
    pub spill_share: Option<f64>,
}

/// A class of the rig.
#[derive(Clone, Debug)]
pub struct ClassSpec {
    /// Name.
    pub name: String,
    /// `safe`, `keyed` or `unsafe`.
    pub effect: String,
    /// `all` or `zone`.
    pub group: String,
    /// Keeps its order.
    pub ordered: bool,
    /// Wanted within.
    pub latency_objective: Duration,
    /// Given up after.
    pub deadline: Duration,
    /// For keyed ones.
    pub repeat_window: Duration,
    /// Worth.
    pub priority_weight: f64,
}

/// Everything around the couriers.
#[derive(Clone, Debug)]
pub struct ClusterSpec {
    /// Couriers.
    pub gateways: usize,
    /// Client programs.
    pub clients: usize,
    /// Partners.
    pub partners: Vec<PartnerSpec>,
    /// Classes.
    pub classes: Vec<ClassSpec>,
    /// Zones.
    pub zones: usize,
    /// Further lines for the block `courier`.
    pub gateway_settings: String,
    /// The block `rules` and kinds, as they stand in the settings.
    pub blocks: String,
}

/// A built rig. Its files go with it.
pub struct TestCluster {
    /// What it was built from.
    pub spec: ClusterSpec,
    /// All that is seen is written here.
    pub recorder: Recorder,
    /// The partners, running.
    pub partners: Partners,
    /// The clients' stations.
    pub clients: Arc<Vec<Identity>>,
    /// Settings files, one a courier.
    pub files: Vec<PathBuf>,
    folder: PathBuf,
    certificates: Vec<Certificate>,
}

/// AS2 name of a courier.
pub fn gateway_name(number: usize) -> String {
    format!("courier-{number}")
}

fn write_private(path: &Path, text: &str) -> io::Result<()> {
    let mut file = fs::OpenOptions::new().write(true).create(true).truncate(true).mode(0o600).open(path)?;
    file.write_all(text.as_bytes())
}

/// Makes a station and writes its key and certificate as `NAME.key` and `NAME.crt`.
fn make(folder: &Path, name: &str, key: NewKey) -> Result<Identity, TestClusterError> {
    let (key_pem, certificate) = new_station(name, key, (2020, 1, 1), (2120, 1, 1))?;
    write_private(&folder.join(format!("{name}.key")), &key_pem)?;
    fs::write(folder.join(format!("{name}.crt")), &certificate)?;
    Ok(Identity::from_pem(name, &key_pem, &certificate)?)
}

impl TestCluster {
    /// Makes keys and settings in a new folder and starts the partners.
    pub fn build(
        folder: &Path,
        spec: ClusterSpec,
        recorder: Recorder,
        seed: u64,
    ) -> Result<TestCluster, TestClusterError> {
        fs::create_dir_all(folder)?;
        let mut gateway_certificates = HashMap::new();
        let mut certificates = Vec::new();
        for number in 0..spec.gateways {
            let identity = make(folder, &gateway_name(number), NewKey::Rsa2048)?;
            certificates.push(identity.certificate.clone());
            gateway_certificates.insert(identity.name, identity.certificate);
        }
        let clients: Result<Vec<Identity>, TestClusterError> =
            (0..spec.clients).map(|number| make(folder, &format!("client-{number}"), NewKey::P256)).collect();
        let mut plans = Vec::new();
        for partner in &spec.partners {
            let identity = Arc::new(make(folder, &partner.name, partner.key)?);
            if partner.mismatched {
                make(folder, &partner.name, partner.key)?;
            }
            plans.push(FakePartner {
                name: partner.name.clone(),
                identity,
                profile: partner.profile.clone(),
                endpoints: partner.zones.len(),
                // Each site keeps its own memory of what it has seen.
                deduplication_groups: partner.zones.clone(),
            });
        }
        let partners = Partners::start(plans, gateway_certificates, recorder.clone(), seed)?;
        let files = (0..spec.gateways).map(|number| folder.join(format!("courier-{number}.hcl"))).collect();
        let mut rig = TestCluster {
            spec,
            recorder,
            partners,
            clients: Arc::new(clients?),
            files,
            folder: folder.to_owned(),
            certificates,
        };
        for number in 0..rig.spec.gateways {
            rig.write_settings(number, SocketAddr::from(([127, 0, 0, 1], 0)), &BTreeSet::new())?;
        }
        Ok(rig)
    }

    /// Writes a courier's settings: where it listens, and which endpoints (partner, endpoint) drain. The file is
    /// replaced in one step, so that none is read half written.
    pub fn write_settings(
        &mut self,
        courier: usize,
        listen: SocketAddr,
        draining: &BTreeSet<(usize, usize)>,
    ) -> Result<(), TestClusterError> {
        let text = self.settings(courier, listen, draining);
        let new = self.folder.join(format!("courier-{courier}.new"));
        fs::write(&new, text)?;
        fs::rename(new, &self.files[courier])?;
        Ok(())
    }

    fn settings(&self, courier: usize, listen: SocketAddr, draining: &BTreeSet<(usize, usize)>) -> String {
        let spec = &self.spec;
        let name = gateway_name(courier);
        let zones: Vec<String> = (0..spec.zones).map(|zone| format!("\"zone-{zone}\"")).collect();
        let mut text = format!(
            "zones = [{}]\n\ncourier {{\n  name = \"{name}\"\n  key = \"{name}.key\"\n  certificate = \"{name}.crt\"\n  \
             couriers = {}\n  place = {courier}\n  zone = \"zone-{}\"\n{}\n}}\n\nfront {{\n  listen = \"{listen}\"\n  connections = 4000\n}}\n\n{}\n",
            zones.join(", "),
            spec.gateways,
            courier % spec.zones.max(1),
            spec.gateway_settings,
            spec.blocks,
        );
        for class in &spec.classes {
            // Writing to a String does not fail.
            let _ = write!(
                text,
                "\nclass \"{}\" {{\n  aim = \"{}ms\"\n  deadline = \"{}ms\"\n  effect = \"{}\"\n  group = \"{}\"\n  \
                 repeat_window = \"{}ms\"\n  in_order = {}\n  worth = {}\n  late_share = 0.4\n}}\n",
                class.name,
                class.latency_objective.as_millis(),
                class.deadline.as_millis(),
                class.effect,
                class.group,
                class.repeat_window.as_millis(),
                class.ordered,
                class.priority_weight,
            );
        }
        for client in self.clients.iter() {
            let _ = write!(
                text,
                "\nclient \"{0}\" {{\n  certificate = \"{0}.crt\"\n  receipts = \"http://127.0.0.1:\"\n}}\n",
                client.name
            );
        }
        for (number, partner) in spec.partners.iter().enumerate() {
            let profile = &partner.profile;
            let rate = profile.limit.unwrap_or_else(|| profile.capacity());
            let encrypt = if partner.key == NewKey::P256 { "none" } else { "aes128-cbc" };
            let receipt = if partner.deferred { "async" } else { "signed" };
            let _ = write!(
                text,
                "\npartner \"{0}\" {{\n  certificate = \"{0}.crt\"\n  kind = \"{1}\"\n  rate = {rate}\n  \
                 encrypt = \"{encrypt}\"\n  receipt = \"{receipt}\"\n",
                partner.name, partner.kind,
            );
            if let Some(share) = partner.spill_share {
                let _ = writeln!(text, "  spill_share = {share}\n  lost_after = \"500ms\"\n  ramp = \"5s\"");
                for zone in partner.zones.iter().collect::<BTreeSet<_>>() {
                    let _ = writeln!(text, "  tier \"zone-{zone}\" {{ rate = {rate} }}");
                }
            }
            for (endpoint, zone) in partner.zones.iter().enumerate() {
                let mode = if draining.contains(&(number, endpoint)) { "draining" } else { "ready" };
                let _ = writeln!(
                    text,
                    "  endpoint \"e{endpoint}\" {{\n    address = \"{}\"\n    zone = \"zone-{zone}\"\n    mode = \"{mode}\"\n  }}",
                    self.partners.addresses[number][endpoint],
                );
            }
            text.push_str("}\n");
        }
        text
    }

    /// What clients know of the couriers, once these listen.
    pub fn gateways(&self, addresses: Vec<SocketAddr>) -> GatewaySet {
        GatewaySet {
            running: addresses.iter().map(|_| AtomicBool::new(true)).collect(),
            names: (0..addresses.len()).map(gateway_name).collect(),
            certificates: self.certificates.clone(),
            addresses,
        }
    }
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        // The folder was made for this rig alone; what can't be removed is left for the system to tidy.
        let _ = fs::remove_dir_all(&self.folder);
    }
}
