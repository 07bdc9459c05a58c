//! Settings of two deployments, small: those of the customer portal and of the donations service.
#![allow(dead_code)]

/// `portal-norte` with one dispatcher: discovery is asked; `account-view` is safe, `plan-payment` unsafe.
pub const PORTAL: &str = r#"{
 "clients":{"marksRetry":false},"countedBy":"request","discovery":"subscribe","domainType":"jobs",
 "familyInfo":{"classKind":[-1,-1],"classPriority":[0,1],"classStretch":[1.75,2.0],"progressS":1.0,"queueOrder":"fifo","reportX0":"free slots","reportX1":"free memory","tellsStart":true},
 "fleetSize":1,"me":0,"kinds":["node-fast","node-std"],
 "lanes":[
  {"name":"account-view","effect":"safe","giveUpS":5.0,"keyScope":"all","lateValue":0.0,"promiseS":0.2,"streaming":false,"windowS":5.0,"worth":1.0},
  {"name":"plan-payment","effect":"unsafe","giveUpS":10.0,"keyScope":"all","lateValue":0.0,"promiseS":0.25,"streaming":false,"windowS":5.0,"worth":2.0}],
 "limits":{"cancel":true,"connIdleS":15.0,"connectTimeoutS":0.2,"maxOpen":20000,"maxRetryAfterS":2.0,"maxStreams":1,"mayProbe":false,"peers":false,"retryAfter":true,"secondCopies":false,"sendCap":4},
 "objectiveMix":{"whole":0.75,"worstClass":0.1,"worstTenant":0.1,"worstWindow":0.05},
 "overShareWorth":0.2,
 "parties":[{"name":"conecta","fraction":0.5,"quotaPerS":40.0},{"name":"airenorte","fraction":0.5,"quotaPerS":40.0}],
 "reporting":{"fields":["x0"],"source":"answers"},
 "safety":{"askWithinS":10.0,"coldS":24.0,"coldShare":0.15,"fallMultiple":4.0,"fallS":1.0,"graceToAnswerS":0.02,"stopSendingWithinS":0.5},
 "stage":0,"tickS":0.005,"tiers":["portal-workers"],"weightKind":"nominal","zone":"burgos","zones":["burgos"]}"#;

/// `ktm-valley-daan` with one dispatcher: lists are pushed; `gift-charge` is unsafe, `fund-transfer` keyed.
pub const DAAN: &str = r#"{
 "clients":{"marksRetry":true},"countedBy":"work","discovery":"automatic","domainType":"jobs",
 "familyInfo":{"classKind":[-1,-1],"classPriority":[0,1],"classStretch":[2.5,1.75],"progressS":0.0,"queueOrder":"fifo","reportX0":"free slots","reportX1":"free memory","tellsStart":true},
 "fleetSize":1,"me":0,"kinds":["fast-4c","mid-4c","slow-4c"],
 "lanes":[
  {"name":"gift-charge","effect":"unsafe","giveUpS":5.0,"keyScope":"all","lateValue":0.0,"promiseS":0.4,"streaming":false,"windowS":30.0,"worth":5.0},
  {"name":"fund-transfer","effect":"keyed","giveUpS":20.0,"keyScope":"all","lateValue":0.0,"promiseS":0.5,"streaming":false,"windowS":30.0,"worth":15.0}],
 "limits":{"cancel":true,"connIdleS":60.0,"connectTimeoutS":0.25,"maxOpen":20000,"maxRetryAfterS":2.0,"maxStreams":1,"mayProbe":false,"peers":false,"retryAfter":true,"secondCopies":true,"sendCap":4},
 "objectiveMix":{"whole":0.25,"worstClass":0.2,"worstTenant":0.1,"worstWindow":0.45},
 "overShareWorth":0.2,
 "parties":[{"name":"himal-shiksha-kosh","fraction":0.5,"quotaPerS":20.0},{"name":"gaun-pani-sewa","fraction":0.5,"quotaPerS":20.0}],
 "reporting":{"fields":["util","queue","x0","x1"],"source":"answers"},
 "safety":{"askWithinS":10.0,"coldS":8.8,"coldShare":0.31,"fallMultiple":4.0,"fallS":3.0,"graceToAnswerS":0.02,"stopSendingWithinS":0.4},
 "stage":0,"tickS":0.004,"tiers":["daan-workers"],"weightKind":"rough","zone":"teku","zones":["baneshwor","teku","jawalakhel"]}"#;
