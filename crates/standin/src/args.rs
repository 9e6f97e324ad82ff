//! Arguments of the `standin` binary.

#![expect(
    missing_docs,
    reason = "the macro generates items without documentation"
)]

use std::net::SocketAddr;
use std::num::NonZeroU32;

use crate::link::Route;
use crate::link::Zone;

xflags::xflags! {
    /// Stand-ins for databases, the platform's store and links between zones.
    cmd standin {
        /// Runs all servers of one database group.
        cmd group {
            /// Name of the group; its servers are NAME-1, NAME-2 and so on.
            required --name name: String
            /// Address of one server; repeat for each. The first one starts as primary.
            repeated --server server: SocketAddr
            /// Address of the control port.
            required --control control: SocketAddr
            /// Statements that run at once on one server (default 5).
            optional --slots slots: usize
            /// Connections open at once to the whole group (default 35).
            optional --connections connections: usize
            /// Time to open a connection, in milliseconds (default 10).
            optional --connect-ms connect_ms: u64
            /// Time from receiving to applying a record, in milliseconds (default 20).
            optional --lag-ms lag_ms: u64
            /// Time from commit to receiving a record, in milliseconds (default 1).
            optional --link-ms link_ms: u64
            /// Time that each statement occupies its slot, in milliseconds (default 0).
            optional --work-ms work_ms: u64
            /// User that may log in (default yucca).
            optional --user user: String
            /// Password of that user (default secret).
            optional --password password: String
        }
        /// Runs the platform's service: table, objects and roster.
        cmd platform {
            /// Address of the service.
            required --listen listen: SocketAddr
            /// Address of the control port.
            required --control control: SocketAddr
        }
        /// Runs forwarders between zones.
        cmd link {
            /// One forwarder as LISTEN=TO,FROM-ZONE,TO-ZONE; `*` tells FROM-ZONE by IP number.
            repeated --route route: Route
            /// The hosts of one zone as NAME=IP,IP.
            repeated --zone zone: Zone
            /// Address to listen on, for a single forwarder.
            optional --listen listen: SocketAddr
            /// Address to forward to, for a single forwarder.
            optional --to to: SocketAddr
            /// Bytes a second that each connection moves each way (default no limit).
            optional --bytes-per-s bytes_per_s: NonZeroU32
            /// Delay each way between two zones, in milliseconds (default 0).
            optional --delay-ms delay_ms: f64
            /// Delay each way between a zone and the zone named client, in milliseconds (default 0).
            optional --client-delay-ms client_delay_ms: f64
            /// Address of the control port.
            required --control control: SocketAddr
        }
    }
}
