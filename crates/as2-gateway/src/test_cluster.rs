//! Test cluster on loopback: fresh keys, settings, fake partners and clients around real gateways. For the demo, the
//! testbench and tests over sockets; a running service uses nothing of it.

mod settings_text;
mod spec;

use crate::directory::LoadError;
use crate::service::ServiceError;
use cloverstile_as2::{generate_identity, As2Error, Certificate, Identity, NewKey};
use cloverstile_fakes::client::GatewaySet;
use cloverstile_fakes::partner::{FakePartner, Partners};
use cloverstile_fakes::record::Recorder;
use settings_text::SettingsInput;
use std::collections::{BTreeSet, HashMap};
use std::fs;
use std::io::{self, Write as _};
use std::net::SocketAddr;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

pub use spec::{gateway_name, ClassSpec, ClusterSpec, PartnerSpec};

/// Why a test cluster could not be built.
#[derive(Debug, thiserror::Error)]
pub enum TestClusterError {
    /// Files or sockets.
    #[error("test cluster: {0}")]
    Io(#[from] io::Error),
    /// Keys.
    #[error("test cluster: {0}")]
    Key(#[from] As2Error),
    /// Settings that don't load.
    #[error("test cluster: {0}")]
    Load(#[from] LoadError),
    /// A gateway that does not start.
    #[error("test cluster: {0}")]
    Service(#[from] ServiceError),
    /// A gateway process, by its number, that does not become ready.
    #[error("test cluster: gateway {0} did not start")]
    Start(usize),
}

/// A built test cluster. Its files are removed when it is dropped.
pub struct TestCluster {
    /// What it was built from.
    pub spec: ClusterSpec,
    /// Records what clients and partners observe.
    pub recorder: Recorder,
    /// The running partners.
    pub partners: Partners,
    /// Keys and certificates of the clients.
    pub clients: Arc<Vec<Identity>>,
    /// Settings files, one for each gateway.
    pub settings_files: Vec<PathBuf>,
    folder: PathBuf,
    certificates: Vec<Certificate>,
}

fn write_private(path: &Path, text: &str) -> io::Result<()> {
    let mut file = fs::OpenOptions::new().write(true).create(true).truncate(true).mode(0o600).open(path)?;
    file.write_all(text.as_bytes())
}

/// Makes a station and writes its key and certificate as `NAME.key` and `NAME.crt`.
fn make_station(folder: &Path, name: &str, key: NewKey) -> Result<Identity, TestClusterError> {
    let (key_pem, certificate) = generate_identity(name, key, (2020, 1, 1), (2120, 1, 1))?;
    write_private(&folder.join(format!("{name}.key")), &key_pem)?;
    fs::write(folder.join(format!("{name}.crt")), &certificate)?;
    Ok(Identity::from_pem(name, &key_pem, &certificate)?)
}

/// Makes the station of a partner. The gateways find another certificate than its own where the specification says so.
fn make_partner(folder: &Path, partner: &PartnerSpec) -> Result<FakePartner, TestClusterError> {
    let identity = Arc::new(make_station(folder, &partner.name, partner.key)?);
    if partner.certificate_mismatch {
        make_station(folder, &partner.name, partner.key)?;
    }
    Ok(FakePartner {
        name: partner.name.clone(),
        identity,
        profile: partner.profile.clone(),
        endpoints: partner.zones.len(),
        // Each site keeps its own memory of what it has seen.
        deduplication_groups: partner.zones.clone(),
    })
}

impl TestCluster {
    /// Makes keys and settings in a new folder and starts the partners.
    ///
    /// # Errors
    /// Files and sockets that the system refuses, and keys that can't be made.
    pub fn build(
        folder: &Path,
        spec: ClusterSpec,
        recorder: Recorder,
        seed: u64,
    ) -> Result<TestCluster, TestClusterError> {
        fs::create_dir_all(folder)?;
        let gateways: Vec<Identity> = (0..spec.gateways)
            .map(|number| make_station(folder, &gateway_name(number), NewKey::Rsa2048))
            .collect::<Result<_, _>>()?;
        let certificates = gateways.iter().map(|gateway| gateway.certificate.clone()).collect();
        let certificates_by_name: HashMap<_, _> =
            gateways.into_iter().map(|gateway| (gateway.name, gateway.certificate)).collect();
        let clients: Vec<Identity> = (0..spec.clients)
            .map(|number| make_station(folder, &format!("client-{number}"), NewKey::P256))
            .collect::<Result<_, _>>()?;
        let fake_partners: Vec<FakePartner> =
            spec.partners.iter().map(|partner| make_partner(folder, partner)).collect::<Result<_, _>>()?;
        let partners = Partners::start(fake_partners, certificates_by_name, recorder.clone(), seed)?;
        let settings_files =
            (0..spec.gateways).map(|number| folder.join(format!("courier-{number}.hcl"))).collect();
        let clients = Arc::new(clients);
        let folder = folder.to_owned();
        let mut cluster =
            TestCluster { spec, recorder, partners, clients, settings_files, folder, certificates };
        for number in 0..cluster.spec.gateways {
            cluster.write_settings(number, SocketAddr::from(([127, 0, 0, 1], 0)), &BTreeSet::new())?;
        }
        Ok(cluster)
    }

    /// Writes a gateway's settings: where it listens, and which endpoints (number of the partner, number of the endpoint)
    /// drain. The file is replaced in one step, so that none is read half written.
    ///
    /// # Errors
    /// A file that can't be written.
    pub fn write_settings(
        &mut self,
        gateway: usize,
        listen: SocketAddr,
        draining: &BTreeSet<(usize, usize)>,
    ) -> Result<(), TestClusterError> {
        let input = SettingsInput {
            spec: &self.spec,
            gateway,
            listen,
            clients: self.clients.iter().map(|client| client.name.as_str()).collect(),
            partner_addresses: &self.partners.addresses,
            draining,
        };
        let new = self.folder.join(format!("courier-{gateway}.new"));
        fs::write(&new, input.to_hcl())?;
        fs::rename(new, &self.settings_files[gateway])?;
        Ok(())
    }

    /// Addresses and certificates of the gateways for clients, once the gateways listen.
    pub fn gateway_set(&self, addresses: Vec<SocketAddr>) -> GatewaySet {
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
        // The folder was made for this cluster alone; what can't be removed is left to the system.
        let _ = fs::remove_dir_all(&self.folder);
    }
}
