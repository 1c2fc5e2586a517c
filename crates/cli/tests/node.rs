//! `cloverstile node` as the platform runs it: killed, stopped, told of another discovery, beside bad clients, with
//! spoilt answers. Judged from what passed on the stand-ins' sockets.

mod world;

use cloverstile_fakes::platform::{read_line, EndpointBehaviour, PlatformEvent, PutCommand};
use std::fs;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use world::*;

#[test]
fn what_is_handed_in_arrives_unchanged_and_bad_input_takes_nothing_on() {
    let mut world = World::new("calm", &[3, 3, 4]);
    world.start();
    let mut client = world.client();
    let bad: [&[u8]; 9] = [
        b"GET / HTTP/1.1\r\n\r\n",
        b"*5\r\n$7\r\nMSG.PUT\r\n$60000000\r\n",
        b"*-3\r\n",
        b"*2\r\n$-9\r\nxx",
        b"*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$1\r\na\r\n$20\r\nc=other,d=9,dest=300\r\n$0\r\n\r\n",
        b"*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$0\r\n\r\n$21\r\nc=payment,d=9,dest=03\r\n$0\r\n\r\n",
        b"*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0",
        b"*99999999999999999999999999999999999999999",
        b"",
    ];
    let mut others: Vec<TcpStream> = bad.iter().map(|_| world.client()).collect();
    for (stream, bytes) in others.iter_mut().zip(bad) {
        stream.write_all(bytes).unwrap();
    }
    for number in 0..20 {
        let put =
            if number % 2 == 0 { notice(format!("n{number}"), 7) } else { payment(format!("p{number}")) };
        assert_eq!(world.platform.submit(&mut client, &put).unwrap(), "+OK");
    }
    // Two commands at once are answered in order.
    client.write_all(&[b"*1\r\n$4\r\nPING\r\n".to_vec(), payment("late".into()).encode()].concat()).unwrap();
    assert_eq!([read_line(&mut client).unwrap(), read_line(&mut client).unwrap()], ["+PONG", "+OK"]);
    assert_eq!(world.broken_in_the_end(), [""; 0]);
    for (_, seen) in world.platform.events() {
        if let PlatformEvent::RequestReceived { id, idempotency, endpoint, body } = seen {
            assert_eq!(body, notice(id.clone(), 0).body);
            assert_eq!(idempotency, id.starts_with('n').then(|| format!("k-{id}")));
            assert_ne!(endpoint, 2, "that one is of another destination");
        }
    }
    let end = Instant::now() + Duration::from_secs(3);
    for (stream, bytes) in others.iter_mut().zip(bad) {
        let mut answer = [0; 4];
        // An error line, or the end of the connection.
        let told = stream.read(&mut answer).map_or(true, |count| count == 0 || answer[0] == b'-');
        assert!(told, "{}", String::from_utf8_lossy(bytes));
    }
    assert!(Instant::now() < end, "within 3 s");
}

#[test]
fn killed_under_load_it_loses_nothing_and_repeats_nothing_that_may_not_be() {
    let mut world = World::new("killed", &[3, 3]);
    world.start();
    (0..2).for_each(|endpoint| world.platform.set_behaviour(endpoint, EndpointBehaviour::Silent));
    for round in 0..3 {
        let mut client = world.client();
        for number in 0..40 {
            let id = format!("{round}-{number}");
            let put = if number % 2 == 0 { notice(id, number % 3 + 1) } else { payment(id) };
            let _ = world.platform.submit(&mut client, &put);
        }
        // Payments must be out when it is killed, or nothing is tested.
        let payment = |seen: &PlatformEvent| matches!(seen, PlatformEvent::RequestReceived { id, .. } if id.ends_with(['1', '3', '5', '7', '9']));
        assert!(world.platform.wait_until(SOON, |seen| seen.iter().any(|(_, seen)| payment(seen))));
        world.kill();
        if round == 2 {
            (0..2).for_each(|endpoint| {
                world.platform.set_behaviour(endpoint, EndpointBehaviour::Deliver(Duration::ZERO))
            });
        }
        world.start();
    }
    assert_eq!(world.broken_in_the_end(), [""; 0]);
    let (_, again) = world.platform.events().iter().fold((0, 0), |(calls, again), (_, seen)| match seen {
        PlatformEvent::RequestReceived { id, .. } if world.calls(id) > 1 => (calls + 1, again + 1),
        _ => (calls, again),
    });
    assert!(again > 0, "no keyed message met a restart: nothing was tested");
}

#[test]
fn told_to_stop_it_ends_by_itself_and_the_next_process_goes_on() {
    let mut world = World::new("stopped", &[3]);
    world.start();
    world.platform.set_behaviour(0, EndpointBehaviour::Deliver(Duration::from_millis(150)));
    let mut client = world.client();
    for number in 0..60 {
        let put =
            if number % 2 == 0 { notice(format!("n{number}"), 0) } else { payment(format!("p{number}")) };
        assert_eq!(world.platform.submit(&mut client, &put).unwrap(), "+OK");
    }
    let mut courier = world.courier.take().unwrap();
    let told = Instant::now();
    signal(&courier, "-TERM");
    assert!(TcpStream::connect(world.listen).is_ok(), "new connections keep coming for a moment");
    assert!(courier.wait().unwrap().success());
    assert!(told.elapsed() < Duration::from_millis(3700), "{:?}: it would have been killed", told.elapsed());
    world.platform.set_behaviour(0, EndpointBehaviour::Deliver(Duration::ZERO));
    world.start();
    assert_eq!(world.broken_in_the_end(), [""; 0]);
    let undeliverable = |seen: &PlatformEvent| matches!(seen, PlatformEvent::Notification { status, .. } if status == "undeliverable");
    let lost = world.platform.events().iter().filter(|(_, seen)| undeliverable(seen)).count();
    assert_eq!(lost, 0, "calls out had time to end");
}

#[test]
fn a_hangup_moves_list_and_notices_to_the_new_address_and_a_bad_file_changes_nothing() {
    let mut world = World::new("moved", &[3, 4]);
    world.start();
    let asked = |seen: &PlatformEvent, at: usize| matches!(seen, PlatformEvent::DiscoveryRequested { address } if *address == at);
    assert!(world.platform.wait_until(SOON, |seen| seen.iter().any(|(_, seen)| asked(seen, 0))));
    fs::write(world.config(), "{ not json").unwrap();
    signal(world.courier.as_ref().unwrap(), "-HUP");
    let mut client = world.client();
    assert_eq!(world.platform.submit(&mut client, &payment("p1".into())).unwrap(), "+OK");
    world.configure(1);
    signal(world.courier.as_ref().unwrap(), "-HUP");
    assert!(world
        .platform
        .wait_until(Duration::from_secs(4), |seen| seen.iter().any(|(_, seen)| asked(seen, 1))));
    // From here on what it does shows that it heard of the change at the new address.
    world.platform.set_lifecycle(1, "DRAINING");
    world.platform.set_behaviour(0, EndpointBehaviour::Disconnect);
    assert_eq!(world.platform.submit(&mut client, &payment("p2".into())).unwrap(), "+OK");
    assert_eq!(world.broken_in_the_end(), [""; 0]);
    let told = |seen: &PlatformEvent| matches!(seen, PlatformEvent::Notification { id, address: 1, status } if id == "p2" && status == "undeliverable");
    assert!(world.platform.events().iter().any(|(_, seen)| told(seen)));
}

#[test]
fn spoilt_answers_are_attempts_that_may_have_run_unless_they_say_200() {
    let mut world = World::new("spoilt", &[3]);
    world.start();
    let mut client = world.client();
    let rest = "Content-Length: 3000000000\r\n\r\n";
    for (name, answer, calls, ends) in [
        ("noise", "\x01\x02\x03\r\n\r\n".to_owned(), 1, "undeliverable"),
        ("busy", format!("HTTP/1.1 429 Slow\r\nRetry-After: 1\r\n{rest}"), 1, "undeliverable"),
        ("true", format!("HTTP/1.1 200 OK\r\n{rest}"), 1, ""),
        (
            "twice",
            "HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200".to_owned(),
            1,
            "",
        ),
    ] {
        world.platform.set_behaviour(0, EndpointBehaviour::Respond(answer.into_bytes()));
        assert_eq!(world.platform.submit(&mut client, &payment(name.into())).unwrap(), "+OK");
        assert_eq!(world.broken_in_the_end(), [""; 0]);
        assert_eq!(world.calls(name), calls, "{name}");
        let told = |seen: &PlatformEvent| matches!(seen, PlatformEvent::Notification { id, status, .. } if id == name && status == ends);
        let noticed = || world.platform.events().iter().any(|(_, seen)| told(seen));
        assert_eq!(noticed(), !ends.is_empty(), "{name}");
    }
}

#[test]
fn what_is_missing_or_wrong_is_named() {
    let world = World::new("wrong", &[3]);
    let says = |command: &mut Command| {
        let output = command.stderr(Stdio::piped()).output().unwrap();
        assert_eq!(output.status.code(), Some(3));
        String::from_utf8_lossy(&output.stderr).into_owned()
    };
    assert!(says(world.command().env_remove("ROUTER_CONFIG")).contains("ROUTER_CONFIG"));
    assert!(says(world.command().env_remove("ROUTER_STATE")).contains("ROUTER_STATE"));
    assert!(says(world.command().env("ROUTER_STATE", Path::new("/nowhere"))).contains("ROUTER_STATE"));
    let text = fs::read_to_string(world.config()).unwrap();
    fs::write(world.config(), text.replace("\"listen\":\"127", "\"listen\":\"here 127")).unwrap();
    let told = says(&mut world.command());
    assert!(told.contains("listen") && told.contains("config.json"), "{told}");
    // Another customer's settings that leave one out: no default of somebody else's stands in for it.
    fs::write(world.config(), text.replace("\"SendCap\":8", "\"Sendcap\":8")).unwrap();
    let told = says(&mut world.command());
    assert!(told.contains("Permissions.SendCap is missing") && told.contains("config.json"), "{told}");
}

/// Fleet day split, seed 3: a repeat was decided on in time and its connection came up when a cut was over. Guards
/// against a call that runs after the partner has forgotten its key.
#[test]
fn a_repeat_whose_connection_comes_up_behind_its_window_is_not_sent() {
    let mut world = World::new("window", &[3]);
    let slow = Slow::new();
    world.edit(|config| {
        config["known"]["instances"][0]["hostPort"] = slow.address.to_string().into();
        config["settings"]["Lanes"][0]["RepeatWindow"] = 1_500_000_000u64.into();
        config["settings"]["Permissions"]["ConnectTimeout"] = 6_000_000_000u64.into();
    });
    world.start();
    let mut client = world.client();
    assert_eq!(world.platform.submit(&mut client, &notice("late".into(), 7)).unwrap(), "+OK");

    let (text, late) = slow.late_repeat("Req-Id: late", Duration::from_millis(1600));
    assert_eq!(text, "", "sent {late:?} after the first call");
    let told = |seen: &PlatformEvent| matches!(seen, PlatformEvent::Notification { id, .. } if id == "late");
    assert!(world.platform.wait_until(SOON, |seen| seen.iter().any(|(_, seen)| told(seen))), "no notice");
}

/// The users play their fleet days with a library of theirs inside the process, which refuses further programs and
/// knows IPv4 alone. Guards against a child, a socket of another family, or a descriptor of io_uring, under load.
#[test]
fn under_load_it_stays_one_process_with_sockets_of_ipv4_alone() {
    let mut world = World::new("alone", &[3]);
    world.platform.set_behaviour(0, EndpointBehaviour::Deliver(Duration::from_millis(30)));
    world.start();
    let id = world.courier.as_ref().unwrap().id();
    let mut client = world.client();
    for number in 0..60 {
        assert_eq!(world.platform.submit(&mut client, &payment(format!("p{number}"))).unwrap(), "+OK");
    }
    let about = PathBuf::from(format!("/proc/{id}"));
    let mut open = 0;
    for entry in fs::read_dir(about.join("fd")).unwrap() {
        let Ok(target) = fs::read_link(entry.unwrap().path()) else { continue };
        let target = target.display().to_string();
        assert!(!target.contains("io_uring"), "{target}");
        let Some(inode) = target.strip_prefix("socket:[").and_then(|rest| rest.strip_suffix(']')) else {
            continue;
        };
        let listed = |table: &str, place: usize| {
            let text = fs::read_to_string(about.join("net").join(table)).unwrap();
            text.lines().any(|line| line.split_whitespace().nth(place) == Some(inode))
        };
        // A connection that closed since has left both tables: only what is listed elsewhere is wrong.
        assert!(!listed("unix", 6) && !listed("tcp6", 9) && !listed("udp6", 9), "{target}");
        open += usize::from(listed("tcp", 9) || listed("udp", 9));
    }
    assert!(open >= 2, "{open} sockets of IPv4: not under load");
    // Processes come and go while the folder is read: what can't be read is nobody's child any more.
    for process in fs::read_dir("/proc").unwrap().flatten() {
        let Ok(stat) = fs::read_to_string(process.path().join("stat")) else { continue };
        let parent = stat.rsplit(')').next().and_then(|rest| rest.split_whitespace().nth(1));
        assert_ne!(parent, Some(id.to_string().as_str()), "it started {stat}");
    }
    assert_eq!(world.broken_in_the_end(), [""; 0]);
}

/// Processor time that a process used so far, in ticks of a hundredth of a second.
fn ticks(child: &Child) -> u64 {
    let text = fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap();
    let fields: Vec<&str> = text.rsplit(')').next().unwrap().split_whitespace().collect();
    fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
}

#[test]
fn out_of_descriptors_it_rests_and_serves_again() {
    let mut world = World::new("descriptors", &[3]);
    let mut command = Command::new("sh");
    command.args(["-c", &format!("ulimit -n 24; exec {PROGRAM} node")]);
    command.env("ROUTER_CONFIG", world.config()).env("ROUTER_STATE", world.folder.join("state"));
    world.courier = Some(command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap());
    let end = Instant::now() + SOON;
    while TcpStream::connect(world.listen).is_err() {
        assert!(Instant::now() < end, "it never listened");
        std::thread::sleep(Duration::from_millis(5));
    }
    let crowd: Vec<TcpStream> = (0..30).map(|_| world.client()).collect();
    let (before, began) = (ticks(world.courier.as_ref().unwrap()), Instant::now());
    // Those that say nothing are closed in the end, which lets the last of the crowd in: all the while it rests.
    let mut last = &crowd[29];
    last.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
    last.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    let mut line = [0; 7];
    last.read_exact(&mut line).unwrap();
    assert_eq!(&line, b"+PONG\r\n");
    let used = ticks(world.courier.as_ref().unwrap()) - before;
    let passed = began.elapsed().as_millis() as u64 / 10;
    assert!(used * 4 < passed, "{used} of {passed} hundredths of a second");
}

#[test]
fn a_folder_that_can_t_be_written_means_busy_and_not_the_end() {
    let mut world = World::new("folder", &[3]);
    world.platform.set_behaviour(0, EndpointBehaviour::Silent);
    // No file may grow beyond 20 KiB: writes fail part of the way, as on a full disk.
    let mut command = Command::new("sh");
    command.args(["-c", &format!("ulimit -f 40; trap '' XFSZ; exec {PROGRAM} node")]);
    command.env("ROUTER_CONFIG", world.config()).env("ROUTER_STATE", world.folder.join("state"));
    world.start_as(&mut command);
    let mut client = world.client();
    let mut hand_in = |number: usize| {
        let put = PutCommand { body: vec![7; 2000], ..notice(format!("m{number}"), 0) };
        world.platform.submit(&mut client, &put).unwrap()
    };
    let refused = (0..100).find(|number| hand_in(*number) != "+OK").expect("a refusal");
    assert!((3..20).contains(&refused), "{refused} of 2 KB in 20 KiB");
    assert!(hand_in(refused).starts_with("-BUSY"));
    world.platform.set_behaviour(0, EndpointBehaviour::Deliver(Duration::ZERO));
    let end = Instant::now() + SOON;
    while hand_in(refused) != "+OK" {
        assert!(Instant::now() < end, "it never took a message again");
        std::thread::sleep(Duration::from_millis(10));
    }
    world.kill();
    world.start();
    assert_eq!(world.broken_in_the_end(), [""; 0]);
}
