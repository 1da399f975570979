//! Client keys: how admission control distinguishes clients, and which clients are known.

use ipnet::{IpNet, Ipv4Net};
use std::net::{IpAddr, Ipv6Addr};

/// The identity by which a client's connections are counted. An IPv6 host is usually given a whole /64 and
/// may use any address in it, so a /64 counts as one client. IPv4-mapped IPv6 addresses count as IPv4.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientKey {
    /// An IPv4 address.
    V4(u32),
    /// The /64 of an IPv6 address.
    V6(u64),
    /// A client identified by other means than its address: the number assigned to the owner of a certificate
    /// or token.
    Named(u64),
}

/// The network a client belongs to: an IPv4 /24 or an IPv6 /48, the usual allocation of a site. Named clients
/// have no prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Prefix {
    /// The /24 of an IPv4 address.
    V4(u32),
    /// The /48 of an IPv6 address.
    V6(u64),
}

impl ClientKey {
    /// The key of the client at an address.
    pub fn from_address(address: IpAddr) -> Self {
        match address.to_canonical() {
            IpAddr::V4(v4) => Self::V4(v4.to_bits()),
            IpAddr::V6(v6) => Self::V6(upper_half(v6)),
        }
    }

    /// The network prefix of the client, if its key comes from an address.
    pub fn prefix(self) -> Option<Prefix> {
        match self {
            Self::V4(bits) => Some(Prefix::V4(bits >> 8)),
            Self::V6(bits) => Some(Prefix::V6(bits >> 16)),
            Self::Named(_) => None,
        }
    }
}

fn upper_half(address: Ipv6Addr) -> u64 {
    (address.to_bits() >> 64) as u64
}

/// The networks whose clients are known. Operators list only a few, so each accepted connection scans the
/// list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KnownNetworks(Vec<IpNet>);

impl KnownNetworks {
    /// Builds the list. Networks of IPv4-mapped addresses are converted to IPv4 where they lie within the
    /// mapped range.
    pub fn new(nets: Vec<IpNet>) -> Self {
        let canonical = |net: IpNet| match net {
            IpNet::V6(v6) => match v6.addr().to_ipv4_mapped() {
                Some(v4) if v6.prefix_len() >= 96 => {
                    Ipv4Net::new(v4, v6.prefix_len() - 96).map_or(net, IpNet::V4)
                }
                _ => net,
            },
            IpNet::V4(_) => net,
        };
        Self(nets.into_iter().map(canonical).collect())
    }

    /// Whether an address lies in one of the networks.
    pub fn contains(&self, address: IpAddr) -> bool {
        let address = address.to_canonical();
        self.0.iter().any(|net| net.contains(&address))
    }
}

#[cfg(test)]
mod tests {
    use super::{ClientKey, KnownNetworks};
    use test_case::test_case;

    fn client(text: &str) -> ClientKey {
        ClientKey::from_address(text.parse().unwrap())
    }

    #[test_case("10.1.2.3", "::ffff:10.1.2.3", true, true; "mapped IPv4 is IPv4")]
    #[test_case("10.1.2.3", "10.1.2.4", false, true; "in the same 24")]
    #[test_case("10.1.2.3", "10.1.3.3", false, false; "in different 24s")]
    #[test_case("2001:db8:1:2::3", "2001:db8:1:2:ffff::9", true, true; "in the same 64")]
    #[test_case("2001:db8:1:2::3", "2001:db8:1:3::3", false, true; "in the same 48")]
    #[test_case("2001:db8:1:2::3", "2001:db8:2:2::3", false, false; "in different 48s")]
    fn addresses_that_one_host_may_use_share_a_key(a: &str, b: &str, same: bool, same_prefix: bool) {
        assert_eq!(client(a) == client(b), same);
        assert_eq!(client(a).prefix() == client(b).prefix(), same_prefix);
    }

    #[test_case("10.1.0.0/16", "10.1.200.1", true; "in the network")]
    #[test_case("10.1.0.0/16", "::ffff:10.1.200.1", true; "mapped address")]
    #[test_case("::ffff:10.1.0.0/112", "10.1.200.1", true; "mapped network")]
    #[test_case("10.1.0.0/16", "10.2.0.1", false; "outside the network")]
    #[test_case("2001:db8::/48", "2001:db8:0:7::1", true; "in a 48")]
    #[test_case("2001:db8::1/128", "2001:db8::2", false; "single address")]
    fn known_clients_are_matched_by_network(net: &str, address: &str, known: bool) {
        let list = KnownNetworks::new(vec![net.parse().unwrap()]);
        assert_eq!(list.contains(address.parse().unwrap()), known);
    }
}
