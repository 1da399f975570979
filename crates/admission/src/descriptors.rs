//! The file descriptor budget: `reserved` + `rejections` + `searcher_connections` + `client_connections`
//! never exceeds the number of descriptors available.

/// How many descriptors each use may hold at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Standard streams, the poller, signal handling, the listener, discovery (its connection and the
    /// replacement), a file being read, the reserve descriptor used to accept and reject a connection when
    /// none is left, and one spare.
    pub reserved: usize,
    /// Connections being rejected, until the client has read the rejection.
    pub rejections: usize,
    /// Connections to searchers.
    pub searcher_connections: usize,
    /// Connections from clients, admitted or queued.
    pub client_connections: usize,
}

/// Usage of a running mixer: 3 standard streams, 3 for the poller, 4 for signals, 1 listener, 2 for
/// discovery, 1 file, 1 reserve; and 1 spare, for descriptors that the standard library opens briefly.
const RESERVED: usize = 16;
/// With fewer descriptors there is hardly a slot left for any client.
const MIN_DESCRIPTORS: usize = 24;

impl DescriptorBudget {
    /// Divides up the descriptors: the smaller of the configured number and the system limit, as the operator
    /// may lower the one and the system's administrator the other. `None` if they are too few to serve.
    pub fn plan(configured: usize, system_limit: Option<usize>) -> Option<Self> {
        let available = configured.min(system_limit.unwrap_or(configured));
        // 1/32 is for rejections, which take half a second each; beyond that the oldest rejection is dropped.
        let rejections = (available / 32).clamp(2, 32);
        let rest = available.checked_sub(RESERVED + rejections).filter(|_| available >= MIN_DESCRIPTORS)?;
        // Searchers are few and clients many: two fifths go to searcher connections, as a searcher may need
        // more than one.
        let searcher_connections = (rest * 2 / 5).max(1);
        Some(Self {
            reserved: RESERVED,
            rejections,
            searcher_connections,
            client_connections: rest - searcher_connections,
        })
    }

    /// The descriptors used when every use is at its limit.
    pub fn total(&self) -> usize {
        self.reserved + self.rejections + self.searcher_connections + self.client_connections
    }

    /// The limit on client connections while more searcher connections are open than planned: a closing one
    /// takes time to close, and its replacement is dialled meanwhile. Those take precedence over new clients.
    pub fn client_limit(&self, searcher_connections_held: usize) -> usize {
        self.client_connections
            .saturating_sub(searcher_connections_held.saturating_sub(self.searcher_connections))
            .max(1)
    }
}

#[cfg(test)]
mod tests {
    use super::DescriptorBudget;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    proptest! {
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

        #[test]
        fn the_total_never_exceeds_what_is_available(configured in 0usize..200_000, system_limit in proptest::option::of(0usize..200_000)) {
            let all = configured.min(system_limit.unwrap_or(configured));
            match DescriptorBudget::plan(configured, system_limit) {
                None => prop_assert!(all < 24),
                Some(plan) => {
                    prop_assert_eq!(plan.total(), all);
                    prop_assert!(plan.searcher_connections >= 1 && plan.client_connections >= 2 && plan.rejections >= 2);
                }
            }
        }

        #[test]
        fn excess_searcher_connections_reduce_the_client_limit(all in 24usize..5000, more in 0usize..5000) {
            let plan = DescriptorBudget::plan(all, None).unwrap();
            let slots = plan.client_limit(plan.searcher_connections + more);
            prop_assert!(slots >= 1 && slots <= plan.client_connections);
            prop_assert!(slots + more == plan.client_connections || slots == 1);
        }
    }

    #[test]
    fn common_limits_are_divided_as_expected() {
        let plan = DescriptorBudget::plan(256, Some(1024)).unwrap();
        assert_eq!((plan.searcher_connections, plan.client_connections), (92, 140));
        assert_eq!(DescriptorBudget::plan(256, Some(32)).unwrap().total(), 32);
        assert_eq!(DescriptorBudget::plan(64, None).unwrap().total(), 64);
    }
}
