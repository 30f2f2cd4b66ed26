//! Reads and writes of the rows that hold the views.

use super::{Membership, POLL_INTERVAL, REGIONS_KEY, REMOTE_POLL_INTERVAL, TABLE_TIMEOUT};
use crate::effect::Effects;
use crate::instance::Instance as Identity;
use crate::prelude::*;
use crate::table::{Expect, Operation, Row, Write};
use crate::view::View;

impl Membership {
    pub(super) fn expire_operations(&mut self, now: Instant) {
        self.pending_read.take_if(|(_, sent)| now >= *sent + TABLE_TIMEOUT);
        self.pending_write.take_if(|(_, sent)| now >= *sent + TABLE_TIMEOUT);
    }

    pub(super) fn poll(&mut self, now: Instant, effects: &mut Effects) {
        if self.pending_read.is_some() || now < self.next_poll {
            return;
        }
        self.next_poll = now + POLL_INTERVAL;
        let mut keys = vec![View::row_key(&self.identity.region)];
        if now >= self.next_remote_poll {
            self.next_remote_poll = now + REMOTE_POLL_INTERVAL;
            let others = self.views.keys().filter(|region| **region != self.identity.region);
            keys.extend(others.map(|region| View::row_key(region)));
            keys.push(REGIONS_KEY.into());
        }
        let ticket = effects.table(Operation::Read(keys));
        self.pending_read = Some((ticket, now));
    }

    pub(super) fn handle_rows(
        &mut self,
        now: Instant,
        sent: Instant,
        rows: &[Row],
        effects: &mut Effects,
    ) {
        let own = View::row_key(&self.identity.region);
        self.table_read_at = Some(sent);
        self.is_paused &= sent < self.pause_detected_at;
        if let Some(row) = rows.iter().find(|row| &*row.key == REGIONS_KEY) {
            self.handle_regions(row);
        }
        for row in rows {
            if let Ok(mut view) = serde_json::from_str::<View>(&row.value) {
                view.version = row.version;
                self.handle_view(now, &view, effects);
            }
        }
        let shown = rows.iter().find(|row| row.key == own).map_or(0, |row| row.version);
        if shown == self.view().version {
            self.confirmed_at = Some(sent);
        }
        self.join_or_leave(now, effects);
    }

    /// Adds newly listed regions, and schedules a read of their views.
    fn handle_regions(&mut self, row: &Row) {
        self.regions_row_version = row.version;
        let names: Vec<Arc<str>> = serde_json::from_str(&row.value).unwrap_or_default();
        for region in names {
            let known = self.views.len();
            let view = View { region: region.clone(), ..View::default() };
            self.views.entry(region).or_insert(view);
            if self.views.len() > known {
                self.refresh();
            }
        }
    }

    fn join_or_leave(&mut self, now: Instant, effects: &mut Effects) {
        let mut members = self.view().members.clone();
        let mut unclean = self.view().unclean.clone();
        match (self.is_member(), self.leaving_since.is_some()) {
            (false, false) => {
                members.retain(|member| member.name != self.identity.name);
                members.push(self.identity.clone());
                // A process that restarts under a name proves that its previous process has ended.
                unclean.retain(|name| *name != self.identity.name);
            }
            (true, true) => members.retain(|member| member.name != self.identity.name),
            _ => return,
        }
        self.write_view(now, members, unclean, effects);
    }

    pub(super) fn write_view(
        &mut self,
        now: Instant,
        members: Vec<Identity>,
        unclean: Vec<Arc<str>>,
        effects: &mut Effects,
    ) {
        if self.pending_write.is_some() {
            return;
        }
        self.token = self.token.wrapping_add(1);
        let current = self.view();
        let expect = Expect::unchanged(current.version);
        let next = View {
            region: current.region.clone(),
            version: expect.next_version(),
            token: self.token,
            members,
            unclean,
        };
        let mut writes = vec![Write::put(View::row_key(&next.region), expect, &next)];
        if expect == Expect::Absent {
            writes.push(self.regions_write());
        }
        let ticket = effects.table(Operation::Write(writes));
        self.pending_write = Some((ticket, now));
    }

    /// Returns the write that adds this instance's region to the list of regions.
    fn regions_write(&self) -> Write {
        let mut names: Vec<&Arc<str>> = self.views.keys().collect();
        names.sort();
        Write::put(REGIONS_KEY, Expect::unchanged(self.regions_row_version), &names)
    }
}
