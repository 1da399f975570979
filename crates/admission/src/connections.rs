//! The table of client connections and its indexes. Its size is bounded by the descriptors for client
//! connections.

use crate::{ClientConnectionId, ClientKey, Prefix};
use fernglade::Moment;
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// What an admitted connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// No complete request has been received yet, or the last one has been answered.
    Idle,
    /// A request has been received in part.
    ReceivingRequest,
    /// A scan of this client is in flight.
    ScanOpen,
    /// The connection was evicted, or it closes after the response being written.
    Closing,
}

/// An entry of the table: one connection of a client.
#[derive(Clone, Copy, Debug)]
pub struct Connection {
    pub client: ClientKey,
    /// The address from which `known` is determined again when the policy changes.
    pub address: Option<IpAddr>,
    /// Whether the client is known to the operator.
    pub known: bool,
    /// `None` while queued: accepted, but not admitted yet.
    pub activity: Option<Activity>,
    /// When it was accepted, became idle or began to send a request.
    pub since: Moment,
}

impl Connection {
    /// Whether it is admitted, has no open scan and is not closing, so that it may be evicted to free a slot.
    pub fn is_evictable(&self) -> bool {
        matches!(self.activity, Some(Activity::Idle | Activity::ReceivingRequest))
    }
}

/// The connection counts of one client.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientCounts {
    /// Connections held, whatever their state.
    pub held: usize,
    /// Evictable connections, unknown and known: a /64 may be known only in part.
    pub evictable: [usize; 2],
}

/// All connections of clients, queued and admitted.
#[derive(Default)]
pub struct Connections {
    entries: BTreeMap<ClientConnectionId, Connection>,
    clients: BTreeMap<ClientKey, ClientCounts>,
    prefixes: BTreeMap<Prefix, usize>,
    /// The following indexes are by whether the connection is known. Evictable connections by when they
    /// became idle; clients by their number of evictable connections; each client's evictable connections by
    /// when they became idle.
    evictable: [BTreeSet<(Moment, ClientConnectionId)>; 2],
    clients_by_evictable: [BTreeSet<(usize, ClientKey)>; 2],
    evictable_by_client: [BTreeSet<(ClientKey, Moment, ClientConnectionId)>; 2],
    /// In order of arrival.
    queue: BTreeSet<(Moment, ClientConnectionId)>,
    /// The numbers of connections that are admitted, closing, and both known and admitted.
    pub admitted: usize,
    pub closing: usize,
    pub known_admitted: usize,
}

impl Connections {
    pub fn get(&self, id: ClientConnectionId) -> Option<&Connection> {
        self.entries.get(&id)
    }

    /// All connections, by id.
    pub fn entries(&self) -> impl Iterator<Item = (ClientConnectionId, &Connection)> {
        self.entries.iter().map(|(id, connection)| (*id, connection))
    }

    /// The counts of one client; zero for a client without connections.
    pub fn client_counts(&self, client: ClientKey) -> ClientCounts {
        self.clients.get(&client).copied().unwrap_or_default()
    }

    /// How many connections the clients of the same prefix hold.
    pub fn prefix_count(&self, client: ClientKey) -> usize {
        client.prefix().and_then(|prefix| self.prefixes.get(&prefix).copied()).unwrap_or(0)
    }

    /// The queued connections, in order of arrival.
    pub fn queued(&self) -> impl Iterator<Item = (Moment, ClientConnectionId)> + '_ {
        self.queue.iter().copied()
    }

    pub fn queued_count(&self) -> usize {
        self.queue.len()
    }

    /// The number of evictable connections, known and unknown.
    pub fn evictable_count(&self) -> usize {
        self.evictable[0].len() + self.evictable[1].len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The number of entries in all tables; a closed connection leaves none.
    pub fn table_entries(&self) -> usize {
        let by_known = |known: usize| {
            self.evictable[known].len()
                + self.clients_by_evictable[known].len()
                + self.evictable_by_client[known].len()
        };
        self.entries.len()
            + self.clients.len()
            + self.prefixes.len()
            + self.queue.len()
            + by_known(0)
            + by_known(1)
    }

    /// The evictable connection that has been idle longest.
    pub fn longest_idle(&self, known: bool) -> Option<(Moment, ClientConnectionId)> {
        self.evictable[usize::from(known)].first().copied()
    }

    /// The client with the most evictable connections: their number, and the one that has been idle longest.
    pub fn largest_client(&self, known: bool) -> Option<(usize, Moment, ClientConnectionId)> {
        let (count, client) = *self.clients_by_evictable[usize::from(known)].last()?;
        let (_, since, id) = self.longest_idle_of(client, known)?;
        Some((count, since, id))
    }

    /// The evictable connection of one client that has been idle longest.
    pub fn longest_idle_of(
        &self,
        client: ClientKey,
        known: bool,
    ) -> Option<(ClientKey, Moment, ClientConnectionId)> {
        let first = (client, Moment::default(), ClientConnectionId(0));
        self.evictable_by_client[usize::from(known)]
            .range(first..)
            .next()
            .copied()
            .filter(|(of, ..)| *of == client)
    }

    /// Adds a connection.
    pub fn insert(&mut self, id: ClientConnectionId, connection: Connection) {
        debug_assert!(!self.entries.contains_key(&id));
        self.clients.entry(connection.client).or_default().held += 1;
        if let Some(prefix) = connection.client.prefix() {
            *self.prefixes.entry(prefix).or_default() += 1;
        }
        self.entries.insert(id, connection);
        self.update_indexes(id, connection, true);
    }

    /// Changes an entry. Its client must stay the same.
    pub fn change(&mut self, id: ClientConnectionId, change: impl FnOnce(&mut Connection)) {
        let Some(before) = self.entries.get(&id).copied() else { return };
        let mut after = before;
        change(&mut after);
        debug_assert_eq!(before.client, after.client);
        self.update_indexes(id, before, false);
        self.entries.insert(id, after);
        self.update_indexes(id, after, true);
    }

    /// Removes a connection from the table and from all indexes and counts.
    pub fn remove(&mut self, id: ClientConnectionId) -> Option<Connection> {
        let connection = self.entries.remove(&id)?;
        self.update_indexes(id, connection, false);
        if let Some(counts) = self.clients.get_mut(&connection.client) {
            counts.held -= 1;
            if counts.held == 0 {
                self.clients.remove(&connection.client);
            }
        }
        if let Some((prefix, count)) =
            connection.client.prefix().and_then(|p| Some((p, self.prefixes.get_mut(&p)?)))
        {
            *count -= 1;
            if *count == 0 {
                self.prefixes.remove(&prefix);
            }
        }
        Some(connection)
    }

    /// Adds an entry to the indexes that it belongs in, or removes it from them.
    fn update_indexes(&mut self, id: ClientConnectionId, connection: Connection, adding: bool) {
        let adjust = |count: &mut usize| *count = if adding { *count + 1 } else { *count - 1 };
        match connection.activity {
            None if adding => drop(self.queue.insert((connection.since, id))),
            None => drop(self.queue.remove(&(connection.since, id))),
            Some(activity) => {
                adjust(&mut self.admitted);
                if activity == Activity::Closing {
                    adjust(&mut self.closing);
                }
                if connection.known {
                    adjust(&mut self.known_admitted);
                }
            }
        }
        if connection.is_evictable() {
            self.update_evictable_indexes(id, connection, adding);
        }
    }

    fn update_evictable_indexes(&mut self, id: ClientConnectionId, connection: Connection, adding: bool) {
        let known = usize::from(connection.known);
        let Some(counts) = self.clients.get_mut(&connection.client) else { return };
        let before = counts.evictable[known];
        let after = if adding { before + 1 } else { before - 1 };
        counts.evictable[known] = after;
        let by_count = &mut self.clients_by_evictable[known];
        by_count.remove(&(before, connection.client));
        if after > 0 {
            by_count.insert((after, connection.client));
        }
        if adding {
            self.evictable[known].insert((connection.since, id));
            self.evictable_by_client[known].insert((connection.client, connection.since, id));
        } else {
            self.evictable[known].remove(&(connection.since, id));
            self.evictable_by_client[known].remove(&(connection.client, connection.since, id));
        }
    }
}
