//! By what callers are told apart.

use ipnet::{IpNet, Ipv4Net};
use std::net::{IpAddr, Ipv6Addr};

/// One who calls. An IPv6 host is given a /64 and may use any address of it, so that is what counts as one;
/// IPv4 that comes as mapped IPv6 is IPv4.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientKey {
    V4(u32),
    V6(u64),
    /// Whoever is told apart otherwise: the number that a certificate's or token's owner was given.
    Named(u64),
}

/// Where a caller is from: an IPv4 /24, an IPv6 /48 (a site's usual share). Who is named is nobody's neighbour.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Prefix {
    V4(u32),
    V6(u64),
}

impl ClientKey {
    pub fn from_address(address: IpAddr) -> Self {
        match address.to_canonical() {
            IpAddr::V4(v4) => Self::V4(v4.to_bits()),
            IpAddr::V6(v6) => Self::V6(upper(v6)),
        }
    }

    pub fn prefix(self) -> Option<Prefix> {
        match self {
            Self::V4(bits) => Some(Prefix::V4(bits >> 8)),
            Self::V6(bits) => Some(Prefix::V6(bits >> 16)),
            Self::Named(_) => None,
        }
    }
}

fn upper(address: Ipv6Addr) -> u64 {
    (address.to_bits() >> 64) as u64
}

/// The networks whose callers are known. A few lines an operator wrote; walked at each arrival.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KnownNetworks(Vec<IpNet>);

impl KnownNetworks {
    /// Networks of mapped IPv4 are IPv4's, where they lie within it.
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

    pub fn contains(&self, address: IpAddr) -> bool {
        let address = address.to_canonical();
        self.0.iter().any(|net| net.contains(&address))
    }
}

#[cfg(test)]
mod tests {
    use super::{ClientKey, KnownNetworks};
    use test_case::test_case;

    fn caller(text: &str) -> ClientKey {
        ClientKey::from_address(text.parse().unwrap())
    }

    #[test_case("10.1.2.3", "::ffff:10.1.2.3", true, true; "mapped IPv4 is IPv4")]
    #[test_case("10.1.2.3", "10.1.2.4", false, true; "neighbours of a 24")]
    #[test_case("10.1.2.3", "10.1.3.3", false, false; "of two 24s")]
    #[test_case("2001:db8:1:2::3", "2001:db8:1:2:ffff::9", true, true; "one 64 is one host's")]
    #[test_case("2001:db8:1:2::3", "2001:db8:1:3::3", false, true; "neighbours of a 48")]
    #[test_case("2001:db8:1:2::3", "2001:db8:2:2::3", false, false; "of two 48s")]
    fn addresses_are_told_apart_by_what_one_host_has(a: &str, b: &str, same: bool, near: bool) {
        assert_eq!(caller(a) == caller(b), same);
        assert_eq!(caller(a).prefix() == caller(b).prefix(), near);
    }

    #[test_case("10.1.0.0/16", "10.1.200.1", true; "within")]
    #[test_case("10.1.0.0/16", "::ffff:10.1.200.1", true; "mapped")]
    #[test_case("::ffff:10.1.0.0/112", "10.1.200.1", true; "a mapped network")]
    #[test_case("10.1.0.0/16", "10.2.0.1", false; "beside")]
    #[test_case("2001:db8::/48", "2001:db8:0:7::1", true; "within a 48")]
    #[test_case("2001:db8::1/128", "2001:db8::2", false; "one address alone")]
    fn who_is_known_is_read_off_a_list_of_networks(net: &str, address: &str, known: bool) {
        let list = KnownNetworks::new(vec![net.parse().unwrap()]);
        assert_eq!(list.contains(address.parse().unwrap()), known);
    }
}
