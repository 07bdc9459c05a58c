//! The exported information elements, and the templates that consist of them.

/// A field of a template: an information element and its length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Element {
    /// The id of the element in the IANA registry "IPFIX Information Elements".
    pub(super) id: u16,
    /// The length of the element in a record, in bytes.
    pub(super) length: u16,
}

const fn element(id: u16, length: u16) -> Element {
    Element { id, length }
}

/// Length of a class name in a record, in bytes. Names have a fixed length and are padded with zeros, because
/// not all collectors support variable-length elements.
pub(super) const CLASS_NAME_LENGTH: usize = 32;

const PROTOCOL_IDENTIFIER: Element = element(4, 1);
const SOURCE_TRANSPORT_PORT: Element = element(7, 2);
const SOURCE_IPV4_ADDRESS: Element = element(8, 4);
const DESTINATION_TRANSPORT_PORT: Element = element(11, 2);
const DESTINATION_IPV4_ADDRESS: Element = element(12, 4);
const SOURCE_IPV6_ADDRESS: Element = element(27, 16);
const DESTINATION_IPV6_ADDRESS: Element = element(28, 16);
const EXPORTED_FLOW_RECORD_TOTAL_COUNT: Element = element(42, 8);
const APPLICATION_NAME: Element = element(96, CLASS_NAME_LENGTH as u16);
const FLOW_END_REASON: Element = element(136, 1);
const EXPORTING_PROCESS_ID: Element = element(144, 4);
const FLOW_ID: Element = element(148, 8);
const FLOW_START_MILLISECONDS: Element = element(152, 8);
const FLOW_END_MILLISECONDS: Element = element(153, 8);
const NOT_SENT_FLOW_TOTAL_COUNT: Element = element(165, 8);
const INITIATOR_OCTETS: Element = element(231, 8);
const RESPONDER_OCTETS: Element = element(232, 8);
const HTTP_STATUS_CODE: Element = element(457, 2);

/// The elements of a flow record after its addresses, in the order in which they are exported.
pub(super) const FLOW_ELEMENTS: [Element; 11] = [
    FLOW_START_MILLISECONDS,
    FLOW_END_MILLISECONDS,
    FLOW_ID,
    INITIATOR_OCTETS,
    RESPONDER_OCTETS,
    PROTOCOL_IDENTIFIER,
    FLOW_END_REASON,
    HTTP_STATUS_CODE,
    SOURCE_TRANSPORT_PORT,
    DESTINATION_TRANSPORT_PORT,
    APPLICATION_NAME,
];
/// The address elements of a flow between IPv4 addresses.
pub(super) const IPV4_ELEMENTS: [Element; 2] = [SOURCE_IPV4_ADDRESS, DESTINATION_IPV4_ADDRESS];
/// The address elements of any other flow.
pub(super) const IPV6_ELEMENTS: [Element; 2] = [SOURCE_IPV6_ADDRESS, DESTINATION_IPV6_ADDRESS];
/// The elements of the exporter's counts; the first one is the scope.
pub(super) const COUNT_ELEMENTS: [Element; 3] =
    [EXPORTING_PROCESS_ID, EXPORTED_FLOW_RECORD_TOTAL_COUNT, NOT_SENT_FLOW_TOTAL_COUNT];
/// Number of scope fields in [`COUNT_ELEMENTS`].
pub(super) const COUNT_SCOPE_FIELDS: u16 = 1;

/// Set id of templates (RFC 7011, 3.3.2).
pub(super) const TEMPLATE_SET_ID: u16 = 2;
/// Set id of options templates (RFC 7011, 3.3.2).
pub(super) const OPTIONS_TEMPLATE_SET_ID: u16 = 3;
/// Template id of flows between IPv4 addresses.
pub(super) const IPV4_FLOW_TEMPLATE: u16 = 256;
/// Template id of all other flows.
pub(super) const IPV6_FLOW_TEMPLATE: u16 = 257;
/// Template id of the exporter's counts.
pub(super) const COUNTS_TEMPLATE: u16 = 258;
