//! Exported flow records, parsed by an IPFIX library.

mod common;
use common::*;
use rstest::rstest;
use std::net::UdpSocket;

/// Each finished stream is exported as one record, whatever its outcome, after the templates that describe
/// it.
#[rstest]
fn each_finished_stream_is_exported_as_a_record() {
    let collector = UdpSocket::bind("127.0.0.1:0").expect("cannot bind a loopback port");
    collector.set_read_timeout(Some(WAIT_TIMEOUT)).expect("cannot set read time-out");
    let (discovery, host) = (MockDiscovery::start(), Host::new("s-1"));
    let cached_list = endpoint_list(1, true, &[host.list_entry("ready")]);
    let collector_address = Some(collector.local_addr().expect("no local address"));
    let dispatcher = Dispatcher::start_with_collector(
        discovery.address,
        &settings(0.0, 2.0),
        &cached_list,
        None,
        collector_address,
    );
    let mut served = dispatcher.send_request("c1", "pay", 10.0);
    let _taken = host.accept_job();
    assert_eq!(dispatcher.send_callback("c1", "s-1", r#""state":"done","result":"result""#), 204);
    assert_eq!(served.read().expect("no response").status(), 200);
    assert_eq!(dispatcher.send_request("c2", "look", 0.05).read().expect("no response").status(), 503);

    let mut parser = netflow_parser::NetflowParser::default();
    let (mut records, mut buffer) = (Vec::new(), [0; 2048]);
    while records.len() < 2 {
        let length = collector.recv(&mut buffer).expect("no message");
        let parsed = parser.parse_bytes(&buffer[..length]);
        assert!(parsed.error.is_none(), "{:?}", parsed.error);
        for packet in parsed.packets {
            let netflow_parser::NetflowPacket::IPFix(message) = packet else { panic!("not IPFIX") };
            assert_eq!((message.header.version, message.header.observation_domain_id), (10, 7));
            for set in message.flowsets {
                if let netflow_parser::variable_versions::ipfix::FlowSetBody::Data(data) = set.body {
                    records.extend(data.fields.iter().map(|fields| format!("{fields:?}")));
                }
            }
        }
    }
    let expect_fields = |index: usize, fields: [&str; 3]| {
        let missing: Vec<_> = fields.into_iter().filter(|field| !records[index].contains(field)).collect();
        assert!(missing.is_empty(), "{missing:?} in {}", records[index]);
    };
    expect_fields(
        0,
        ["HttpStatusCode), DataNumber(U16(200))", "ResponderOctets), DataNumber(U64(6))", "\"pay\""],
    );
    expect_fields(
        1,
        ["HttpStatusCode), DataNumber(U16(503))", "InitiatorOctets), DataNumber(U64(4))", "\"look\""],
    );
}
