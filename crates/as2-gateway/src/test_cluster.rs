//! Test cluster on the loopback interface: generated keys and settings for real gateways, with fake partners and
//! clients.
//!
//! Used by the demo, the testbench and tests over sockets. A production gateway does not use this module.

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

/// Why a test cluster could not be built or its gateways not started.
#[derive(Debug, thiserror::Error)]
pub enum TestClusterError {
    /// A file or socket operation failed.
    #[error("test cluster: {0}")]
    Io(#[from] io::Error),
    /// A key or certificate could not be generated.
    #[error("test cluster: {0}")]
    Key(#[from] As2Error),
    /// The generated settings could not be loaded.
    #[error("test cluster: {0}")]
    Load(#[from] LoadError),
    /// A gateway in this process failed.
    #[error("test cluster: {0}")]
    Service(#[from] ServiceError),
    /// The gateway with this number did not become ready.
    #[error("test cluster: gateway {0} did not start")]
    Start(usize),
}

/// A test cluster with running partners. Its directory is removed when it is dropped.
pub struct TestCluster {
    /// Specification that the cluster was built from.
    pub spec: ClusterSpec,
    /// Records what clients and partners observe.
    pub recorder: Recorder,
    /// Running fake partners and their addresses.
    pub partners: Partners,
    /// AS2 names, private keys and certificates of the clients.
    pub clients: Arc<Vec<Identity>>,
    /// Settings files of the gateways, in the order of their numbers.
    pub settings_files: Vec<PathBuf>,
    folder: PathBuf,
    certificates: Vec<Certificate>,
}

fn write_private(path: &Path, text: &str) -> io::Result<()> {
    let mut file = fs::OpenOptions::new().write(true).create(true).truncate(true).mode(0o600).open(path)?;
    file.write_all(text.as_bytes())
}

/// Generates a key and a certificate and writes them to `NAME.key` and `NAME.crt`.
fn create_identity(folder: &Path, name: &str, key: NewKey) -> Result<Identity, TestClusterError> {
    let (key_pem, certificate) = generate_identity(name, key, (2020, 1, 1), (2120, 1, 1))?;
    write_private(&folder.join(format!("{name}.key")), &key_pem)?;
    fs::write(folder.join(format!("{name}.crt")), &certificate)?;
    Ok(Identity::from_pem(name, &key_pem, &certificate)?)
}

/// Creates a fake partner. With `certificate_mismatch`, the certificate file that the gateways read is replaced by
/// one of another key.
fn create_partner(folder: &Path, partner: &PartnerSpec) -> Result<FakePartner, TestClusterError> {
    let identity = Arc::new(create_identity(folder, &partner.name, partner.key)?);
    if partner.certificate_mismatch {
        create_identity(folder, &partner.name, partner.key)?;
    }
    Ok(FakePartner {
        name: partner.name.clone(),
        identity,
        profile: partner.profile.clone(),
        endpoints: partner.zones.len(),
        // Endpoints recognize repeated messages only within their own zone.
        deduplication_groups: partner.zones.clone(),
    })
}

impl TestCluster {
    /// Generates keys and settings in `folder` and starts the partners. The gateways are not started.
    ///
    /// # Errors
    /// Fails if a file or socket operation fails or a key cannot be generated.
    pub fn build(
        folder: &Path,
        spec: ClusterSpec,
        recorder: Recorder,
        seed: u64,
    ) -> Result<TestCluster, TestClusterError> {
        fs::create_dir_all(folder)?;
        let gateways: Vec<Identity> = (0..spec.gateways)
            .map(|number| create_identity(folder, &gateway_name(number), NewKey::Rsa2048))
            .collect::<Result<_, _>>()?;
        let certificates = gateways.iter().map(|gateway| gateway.certificate.clone()).collect();
        let certificates_by_name: HashMap<_, _> =
            gateways.into_iter().map(|gateway| (gateway.name, gateway.certificate)).collect();
        let clients: Vec<Identity> = (0..spec.clients)
            .map(|number| create_identity(folder, &format!("client-{number}"), NewKey::P256))
            .collect::<Result<_, _>>()?;
        let fake_partners: Vec<FakePartner> =
            spec.partners.iter().map(|partner| create_partner(folder, partner)).collect::<Result<_, _>>()?;
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

    /// Writes the settings of a gateway with its listening address and its draining endpoints, each given as the
    /// number of the partner and the number of the endpoint there. The file is replaced atomically, so that a gateway
    /// never reads a partly written one.
    ///
    /// # Errors
    /// Fails if the file cannot be written.
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

    /// What clients need to reach the gateways. `addresses` are the addresses that the gateways listen on, in the
    /// order of their numbers.
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
        // The directory belongs to this cluster alone. Errors are ignored: `drop` cannot report them.
        let _ = fs::remove_dir_all(&self.folder);
    }
}
