//! `cloverstile demo`: a payday on loopback.

use crate::exit;
use clap::Args;
use cloverstile_as2::NewKey;
use cloverstile_as2_gateway::test_cluster::{
    ClassSpec, ClusterSpec, PartnerSpec, TestCluster, TestClusterError,
};
use cloverstile_as2_gateway::{load, RunSummary, Service, ShutdownHandle};
use cloverstile_fakes::client::{Client, ClientBehaviour, GatewaySet, PlannedMessage, Progress};
use cloverstile_fakes::model::{Fault, ServerProfile};
use cloverstile_fakes::partner::PartnerCommand;
use cloverstile_fakes::record::{ObservedEvent, Recorder, ReportedOutcome};
use comfy_table::{presets::UTF8_BORDERS_ONLY, Table};
use indicatif::{ProgressBar, ProgressStyle};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Arguments.
#[derive(Args)]
pub struct Demo {
    /// Messages.
    #[arg(long, default_value_t = 3000, value_parser = clap::value_parser!(u32).range(10..=200_000))]
    messages: u32,
    /// Gateways, each in a thread of its own.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u16).range(1..=8))]
    couriers: u16,
    /// Messages a second.
    #[arg(long, default_value_t = 250, value_parser = clap::value_parser!(u32).range(1..=5000))]
    rate: u32,
    /// Seed of the day.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// For machines.
    #[arg(long)]
    json: bool,
}

struct Running {
    stopper: ShutdownHandle,
    thread: std::thread::JoinHandle<Option<RunSummary>>,
}

impl Demo {
    /// Plays the day and prints what was answered.
    pub fn run(&self) -> u8 {
        let folder = std::env::temp_dir().join(format!("cloverstile-demo-{}", std::process::id()));
        match self.play(&folder) {
            Ok(recorder) => self.report(&recorder),
            Err(error) => {
                eprintln!("cloverstile demo: {error}");
                exit::FAILED
            }
        }
    }

    fn play(&self, folder: &Path) -> Result<Recorder, TestClusterError> {
        let recorder = Recorder::default();
        if !self.json {
            println!("Making keys, starting {} couriers and four partners on loopback ...", self.couriers);
        }
        let spec = spec(usize::from(self.couriers), self.rate);
        let rig = TestCluster::build(folder, spec, recorder.clone(), self.seed)?;
        let mut running = Vec::new();
        let mut addresses = Vec::new();
        for (number, file) in rig.files.iter().enumerate() {
            let (config, directory) = load(file)?;
            let (tell, told) = std::sync::mpsc::channel();
            let seed = self.seed ^ number as u64;
            // The loop of a courier lives in the thread that made it.
            let thread = std::thread::spawn(move || {
                let mut service = Service::start(config, directory, None, seed).ok()?;
                let _ = tell.send((service.address(), service.shutdown_handle()));
                service.run().ok()
            });
            let (address, stopper) = told.recv().map_err(|_| TestClusterError::Start(number))?;
            addresses.push(address);
            running.push(Running { stopper, thread });
        }
        let couriers = rig.gateways(addresses);
        self.drive(&rig, &couriers, &recorder)?;
        for courier in running {
            courier.stopper.shut_down();
            // A courier that panicked has said so; what it left unanswered shows in the table.
            let _ = courier.thread.join();
        }
        Ok(recorder)
    }

    /// Lets the clients hand in while two partners have a bad time.
    fn drive(
        &self,
        rig: &TestCluster,
        couriers: &GatewaySet,
        recorder: &Recorder,
    ) -> Result<(), TestClusterError> {
        let span = Duration::from_secs_f64(f64::from(self.messages) / f64::from(self.rate));
        let plan = plan(self.messages, span, self.seed, recorder.now());
        let progress = Progress::default();
        let bar = if self.json { ProgressBar::hidden() } else { ProgressBar::new(u64::from(self.messages)) };
        let style = "{bar:40} {pos}/{len} answered, {elapsed} elapsed, {eta} to go";
        bar.set_style(ProgressStyle::with_template(style).unwrap_or_else(|_| ProgressStyle::default_bar()));
        let trouble = span.mul_f64(0.3);
        rig.partners.send(PartnerCommand::Fault {
            partner: 1,
            fault: Fault::Silent,
            zone: None,
            duration: trouble,
        });
        rig.partners.send(PartnerCommand::Fault {
            partner: 2,
            fault: Fault::TruncateResponses(0.2),
            zone: None,
            duration: trouble,
        });
        std::thread::scope(|scope| {
            let client = scope.spawn(|| {
                let habits = ClientBehaviour::default();
                Client::new(&rig.clients[0], habits, couriers, plan, recorder.clone(), &progress)?.run()
            });
            while !client.is_finished() {
                bar.set_position(progress.completed.load(Ordering::Relaxed) as u64);
                std::thread::sleep(Duration::from_millis(100));
            }
            bar.finish_and_clear();
            client.join().unwrap_or_else(|_| Err(std::io::Error::other("the client panicked")))
        })?;
        Ok(())
    }

    fn report(&self, recorder: &Recorder) -> u8 {
        let lines = recorder.lines();
        let mut class_of = HashMap::new();
        let mut answers: BTreeMap<String, [u32; 4]> = BTreeMap::new();
        let mut effects: HashMap<String, u32> = HashMap::new();
        for line in &lines {
            match &line.event {
                ObservedEvent::Submitted { id, class, .. } => {
                    class_of.insert(id.clone(), class.clone());
                }
                ObservedEvent::EffectApplied { id, .. } => *effects.entry(id.clone()).or_default() += 1,
                _ => {}
            }
        }
        let mut last: HashMap<&str, ReportedOutcome> = HashMap::new();
        for line in &lines {
            if let ObservedEvent::Answered { id, outcome: told, .. } = &line.event {
                last.insert(id, *told);
            }
        }
        for (id, class) in &class_of {
            let place = match last.get(id.as_str()) {
                Some(ReportedOutcome::Delivered) => 0,
                Some(ReportedOutcome::Rejected) => 1,
                Some(ReportedOutcome::Failed) => 2,
                _ => 3,
            };
            answers.entry(class.clone()).or_default()[place] += 1;
        }
        let twice = effects.values().filter(|count| **count > 1).count();
        let unanswered: u32 = answers.values().map(|row| row[3]).sum();
        if self.json {
            let told = serde_json::json!({
                "messages": class_of.len(), "answers": answers, "effects_twice": twice, "unanswered": unanswered,
            });
            println!("{told}");
        } else {
            let mut table = Table::new();
            table.load_preset(UTF8_BORDERS_ONLY);
            table.set_header(["class", "delivered", "refused (safe)", "failed (may have run)", "no answer"]);
            for (class, row) in &answers {
                table.add_row(std::iter::once(class.clone()).chain(row.iter().map(u32::to_string)));
            }
            println!("{table}");
            println!("One partner took messages and never answered for a while, another lost a fifth of its answers.");
            println!("Messages that took effect twice at a partner: {twice}");
        }
        if twice == 0 && unanswered == 0 {
            exit::OK
        } else {
            exit::FAILED
        }
    }
}

fn spec(couriers: usize, rate: u32) -> ClusterSpec {
    let class = |name: &str, effect: &str, in_order, worth| ClassSpec {
        name: name.into(),
        effect: effect.into(),
        group: "all".into(),
        ordered: in_order,
        latency_objective: Duration::from_secs(1),
        deadline: Duration::from_secs(6),
        repeat_window: Duration::from_secs(5),
        priority_weight: worth,
    };
    let partner = |name: &str, kind: &str, share: f64, key, deferred| PartnerSpec {
        name: name.into(),
        kind: kind.into(),
        profile: ServerProfile {
            servers: (f64::from(rate) * share * 0.06).ceil().max(4.0) as usize,
            queue: 64,
            repeat_window: Duration::from_secs(10),
            ..ServerProfile::default()
        },
        zones: vec![0, 0],
        key,
        deferred,
        mismatched: false,
        spill_share: None,
    };
    ClusterSpec {
        gateways: couriers,
        clients: 1,
        partners: vec![
            partner("bank-north", "banks", 0.4, NewKey::Rsa2048, false),
            partner("bank-south", "banks", 0.3, NewKey::P256, false),
            partner("bayside-hr", "employers", 0.2, NewKey::P256, false),
            partner("rosehall-hr", "employers", 0.1, NewKey::P256, true),
        ],
        classes: vec![class("salary-payment", "unsafe", false, 3.0), class("pay-notice", "keyed", true, 1.0)]
,
        zones: 1,
        gateway_settings: "  call_slots = 100\n  most_held = 4000\n  stop_within = \"5s\"".into(),
        blocks: "rules {\n  answer_slack = \"300ms\"\n  order_settle = \"50ms\"\n  cold = \"4s\"\n  fall = \"1s\"\n}\n\
                 kind \"banks\" {}\nkind \"employers\" {}"
            .into(),
    }
}

fn plan(messages: u32, span: Duration, seed: u64, from: Duration) -> Vec<PlannedMessage> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let names = ["bank-north", "bank-south", "bayside-hr", "rosehall-hr"];
    (0..messages)
        .map(|number| {
            let drawn: f64 = rng.random();
            let partner = [0.4, 0.7, 0.9].iter().filter(|edge| drawn >= **edge).count();
            let pays = partner < 2;
            PlannedMessage {
                at: from + span.mul_f64(f64::from(number) / f64::from(messages)),
                id: format!("payday-{seed}-{number}@client-0"),
                class: if pays { "salary-payment" } else { "pay-notice" }.into(),
                partner: names[partner].into(),
                key: (!pays).then(|| format!("employee-{}", rng.random_range(0..400))),
                deadline: Duration::from_secs(6),
                body: format!("payday message {number} for {}\n", names[partner]).into_bytes(),
                disconnects_after_submission: false,
            }
        })
        .collect()
}
