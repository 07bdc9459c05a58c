//! Tests of the adapter process: replies to valid input, and an error message and a non-zero exit code for malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_roselock-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("piped");
    // The process may exit before it has read all of its input; only its output is checked.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("the adapter exits")
}

fn replies(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("UTF-8")
}

const OPTIONS: &str = r#"{"fleetSize":2,"zone":"east","zones":["east","west"],"kinds":["big"],"later":{"x":1},
 "lanes":[{"name":"look","worth":1,"lateValue":0.5,"promiseS":0.2,"giveUpS":4,"effect":"safe"},
 {"name":"book","worth":2,"lateValue":null,"promiseS":0.5,"giveUpS":9,"effect":"keyed","keyScope":"cell","windowS":3}],
 "discovery":"subscribe","tickS":0.002,"countedBy":"work","limits":{"cancel":true,"sendCap":3,"connIdleS":9},
 "safety":{"askWithinS":8,"coldS":5,"coldShare":0.4,"fallMultiple":3,"fallS":1,"graceToAnswerS":0.01},
 "familyInfo":{"tellsStart":true,"classStretch":[2,2],"progressS":1}}"#;

fn attach(id: u32) -> String {
    let options = OPTIONS.replace('\n', "");
    format!(
        r#"{{"clockS":5.5,"batch":1,"schedulers":[{{"schedulerId":{id},"events":[["attach",9,{options}],
["fleet",1,"C",[["ready","east",0,"big",1,null,"10.0.0.1:99"],["ready","west",1,"new",2,0,"10.0.0.2:99"]]]]}}]}}"#
    )
    .replace('\n', "")
        + "\n"
}

#[test]
fn an_empty_batch_is_answered_with_its_number() {
    let output = run("{\"clockS\":1.5,\"batch\":7,\"schedulers\":[]}\n");
    assert!(output.status.success());
    assert_eq!(replies(&output), "{\"batch\":7,\"schedulers\":[]}\n");
}

#[test]
fn a_job_is_sent_and_ends_with_its_result() {
    let job = r#"{"clockS":6,"batch":2,"schedulers":[{"schedulerId":4,"events":[["alarm",2199023255552],["jobIn",31,null,false,false,0.1,"look",1,"nobody","k/1",4,false]]}]}"#;
    let end = r#"{"clockS":6.2,"batch":3,"schedulers":[{"schedulerId":4,"events":[["notice",31,0,"10.0.0.1:99",1,null],["verdict",31,0,"10.0.0.1:99","OK",0.2,true,null,null],["alarm",31]]}]}"#;
    let output = run(&format!("{}{job}\n{end}\n", attach(4)));
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = replies(&output);
    let lines: Vec<_> = text.lines().collect();
    assert_eq!(lines.len(), 3);
    // The dispatcher calls the discovery service at its position in the poll round.
    assert!(lines[0].contains(",2199023255552]"), "{}", lines[0]);
    assert!(lines[1].contains(r#"["watch",true]"#), "{}", lines[1]);
    assert!(lines[1].contains(r#"["callOut",31,"10.0.0."#), "{}", lines[1]);
    assert!(!lines[2].contains("callOut") && !lines[2].contains("bounce"), "{}", lines[2]);
}

#[test]
fn unusual_but_valid_input_is_accepted() {
    // Every event, with values missing and with surplus values, for known and unknown jobs, workers and instances.
    let input = r#"{"batch":2,"more":[1],"clockS":6,"schedulers":[{"schedulerId":4,"events":[
["fleet",2,"X"],["fleet",3,"D",[["gone",null,null,null,null,null,"10.0.0.9:1"]]],["fleet",4,"F",[]],
["jobIn",1,null,null,null,null,"book",null,0,null,2.5],["jobIn",2,0.4,false,true,0,"look",2,null,"",0,true,"x"],
["accepted",77,0,"10.0.0.1:99",0.1],["health",0.1,"OK","10.0.0.1:99",{"x0":2,"util":null,"zz":1}],
["health",0.1,"UNAVAILABLE","10.9.9.9:9"],["notice",5,0,"10.0.0.1:99",3,1],["notice",5,0,"10.0.0.1:99",2,0.5],
["alarm",9223372036854775807],["cancelledByClient",12],["datagram",1,"hi"],
["verdict",5,0,"10.0.0.1:99","TOO_LATE",0,true],["down"],["alarm",3]]},
{"schedulerId":9,"events":[["alarm",1]]},{"schedulerId":8,"events":[]}]}"#;
    let output = run(&format!("{}{}\n", attach(4), input.replace('\n', "")));
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert!(replies(&output).ends_with("{\"batch\":2,\"schedulers\":[]}\n"), "{}", replies(&output));
    assert!(output.stderr.is_empty());
}

#[test]
fn a_restart_in_one_batch_starts_without_state() {
    let restart =
        attach(4).replace(r#""events":["#, r#""events":[["down"],"#).replace("\"batch\":1", "\"batch\":2");
    let output = run(&format!("{}{restart}", attach(4)));
    assert!(output.status.success());
    let text = replies(&output);
    let lines: Vec<_> = text.lines().collect();
    assert_eq!(lines[0].replace("\"batch\":1", "\"batch\":2"), lines[1]);
}

#[test]
fn malformed_input_is_reported_and_ends_the_process() {
    let unknown_class = r#"{"clockS":6,"batch":2,"schedulers":[{"schedulerId":4,"events":[["jobIn",1,null,false,false,0.1,"dance",1,null,null,4,false]]}]}"#;
    let unknown_mode =
        r#"{"clockS":6,"batch":2,"schedulers":[{"schedulerId":4,"events":[["fleet",1,"Q",[]]]}]}"#;
    let cases = [
        ("{\"clockS\":1\n".to_string(), "line 1", "EOF"),
        (format!("{}not json\n", attach(4)), "line 2", "expected"),
        ("[]\n".to_string(), "line 1", "Batch"),
        (
            "{\"clockS\":1,\"batch\":1,\"schedulers\":[{\"schedulerId\":1,\"events\":[[\"dance\"]]}]}\n"
                .to_string(),
            "line 1",
            "dance",
        ),
        (
            "{\"clockS\":1,\"batch\":1,\"schedulers\":[{\"schedulerId\":1,\"events\":[[\"alarm\"]]}]}\n"
                .to_string(),
            "line 1",
            "nonce",
        ),
        (format!("{}{unknown_class}\n", attach(4)), "line 2", "dance"),
        (format!("{}{unknown_mode}\n", attach(4)), "line 2", "mode"),
        (attach(4).replace("\"safe\"", "\"sometimes\""), "line 1", "lanes[].effect"),
    ];
    for (input, line_number, detail) in cases {
        let output = run(&input);
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "{input}");
        assert!(message.contains(line_number) && message.contains(detail), "{message}");
        assert_eq!(message.lines().count(), 1, "{message}");
        assert!(
            replies(&output).lines().all(|line| line.starts_with("{\"batch\":")),
            "incomplete reply for {input}"
        );
    }
}

#[test]
fn settings_out_of_range_are_rejected_by_key() {
    let output = run(&attach(3).replace("\"fleetSize\":2", "\"fleetSize\":0"));
    let message = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success() && output.stdout.is_empty());
    assert!(message.contains("scheduler 3") && message.contains("fleetSize"), "{message}");
}
