//! What the router knows of the source, by its own reads and by the word of routers that read it.

use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::time::{Duration, Instant};

use papayamux_coordination::fleet_knowledge::{
    BeliefChange, BeliefDigest, BeliefJournal, BeliefSpan, DutyView, FollowerEntry, FollowerTable,
    HeardQuestion, SourceDuty, SourceReaders, SourceRole, SourceView, StatedShift, StatedView,
    ViewInForce,
};
use papayamux_coordination::peer_vouching::VouchQuestion;
use papayamux_protocol::fleet_news::{FleetNews, FollowRequest, NewsSpan, ServerNews};
use papayamux_state::boot_time::BootInstant;
use papayamux_state::evacuation::EvacuationOrder;
use papayamux_state::ids::ServerName;
use papayamux_state::service_config::ConfigVersion;
use papayamux_state::source::SourcePosition;
use papayamux_transport::boot_clock::boot_now;
use papayamux_transport::shutdown::ShutdownSignal;

use super::Fleet;

/// Changes told in one datagram: of up to 100 bytes each, under 13 KB. Whoever lacks more reads them.
const MOST_CHANGES: usize = 128;
/// What is known of the source, and who tells it.
pub(super) struct SourceKnowledge {
    view: Cell<SourceView>,
    journal: RefCell<BeliefJournal>,
    duty: RefCell<SourceDuty>,
    followers: RefCell<FollowerTable>,
    advanced: RefCell<ShutdownSignal>,
    differs_since: Cell<Option<Instant>>,
    hops: Cell<u32>,
}

impl SourceKnowledge {
    /// Nothing is known yet; by itself the router would read at the pause `alone`.
    pub(super) fn new(own: IpAddr, alone: Duration) -> Self {
        Self {
            view: Cell::default(),
            journal: RefCell::default(),
            duty: RefCell::new(SourceDuty::new(own, alone)),
            followers: RefCell::default(),
            advanced: RefCell::default(),
            differs_since: Cell::new(None),
            hops: Cell::new(0),
        }
    }
}

impl Fleet {
    /// The position of the source behind which changes have to be read; `None` where everything has.
    pub(in crate::direct) fn source_position(&self) -> Option<SourcePosition> {
        self.knowledge.view.get().position()
    }

    /// Notes that everything was read, up to this position.
    pub(in crate::direct) fn note_whole_read(&self, at: SourcePosition) {
        self.knowledge.journal.borrow_mut().note_gap(at);
        self.change_view(|view| view.note_whole(at));
        self.note_beliefs();
    }

    /// Whether changes that a read brought up to `at` are to be taken over for servers.
    pub(in crate::direct) fn takes_changes(&self, at: SourcePosition) -> bool {
        self.change_view(|view| view.note_changes(at))
    }

    /// Notes that everything has to be read.
    pub(in crate::direct) fn forget_position(&self) {
        self.change_view(SourceView::forget);
    }

    fn change_view<T>(&self, change: impl FnOnce(&mut SourceView) -> T) -> T {
        let mut view = self.knowledge.view.get();
        let result = change(&mut view);
        self.knowledge.view.set(view);
        result
    }

    /// Notes that a server's entry went, for those who follow this router.
    pub(super) fn note_heard_departure(&self, name: &ServerName) {
        self.knowledge.journal.borrow_mut().note_departure(name.clone());
    }

    /// A newer version of the configuration than the one in force, of which another router has told.
    pub(in crate::direct) fn wanted_version(&self) -> Option<ConfigVersion> {
        self.knowledge.view.get().wanted(self.configuration_version())
    }

    /// Notes that this router has read the source itself.
    pub(in crate::direct) fn note_own_read(&self) {
        self.knowledge.hops.set(0);
        self.tell_followers();
    }

    /// What the router does to know the source.
    pub(in crate::direct) fn source_role(&self) -> SourceRole {
        self.knowledge.duty.borrow().role()
    }

    /// Whether this router looks often for a source that is away.
    pub(in crate::direct) fn seeks_source(&self) -> bool {
        self.settings.readers == SourceReaders::All || self.knowledge.duty.borrow().seeks_source()
    }

    /// Chooses the role again among the routers that are known.
    pub(in crate::direct) fn choose_source_role(&self, known: &[IpAddr], now: Instant) {
        if self.settings.readers == SourceReaders::All {
            return;
        }
        let view = DutyView {
            known,
            doubts_reads: !self.may_be_confirmed() || self.awaits_renewals(),
            has_followers: !self.knowledge.followers.borrow_mut().current(now).is_empty(),
        };
        if !self.knowledge.duty.borrow_mut().choose(view, now) {
            return;
        }
        let routers = known.len() + 1;
        match self.source_role() {
            SourceRole::Reader(pause) => {
                let pause_ms = pause.as_millis() as u64;
                log::info!(routers = routers, pause_ms = pause_ms; "reads the source for others");
                self.poke();
            }
            SourceRole::Follower(followed) => {
                log::info!(routers = routers, followed:% = followed; "follows a router");
            }
        }
    }

    /// What to ask the router that is followed; nothing where none is, or where all is still to be read.
    pub(in crate::direct) fn follow_request(&self, life: u64) -> Option<(IpAddr, FollowRequest)> {
        let SourceRole::Follower(followed) = self.source_role() else { return None };
        let position = self.source_position()?.0;
        let asked_ms = u64::try_from(boot_now().0.as_millis()).ok()?;
        Some((followed, FollowRequest { life, asked_ms, position }))
    }

    /// Notes that `router` follows this one; what to tell it at once.
    pub(in crate::direct) fn note_follower(
        &self,
        router: IpAddr,
        request: FollowRequest,
        now: Instant,
    ) -> Option<FleetNews> {
        let asked = BootInstant(Duration::from_millis(request.asked_ms));
        let question = VouchQuestion { life: request.life, asked };
        let question = HeardQuestion { question, heard: boot_now() };
        let position = SourcePosition(request.position);
        let mut followers = self.knowledge.followers.borrow_mut();
        if !followers.note(router, question, position, now) {
            return None;
        }
        let entry = followers.current(now).into_iter().find(|(follower, _)| *follower == router);
        self.news_for(&entry?.1)
    }

    /// Waits until there is something newer to tell; then what, and to whom.
    pub(in crate::direct) async fn next_news(&self) -> Vec<(IpAddr, FleetNews)> {
        let advanced = self.knowledge.advanced.borrow().clone();
        advanced.triggered().await;
        let followers = self.knowledge.followers.borrow_mut().current(Instant::now());
        let news = followers.iter();
        news.filter_map(|(router, entry)| Some((*router, self.news_for(entry)?))).collect()
    }

    /// Takes in what `sender` tells of the source.
    pub(in crate::direct) fn take_news(&self, sender: IpAddr, life: u64, news: FleetNews) {
        let now = boot_now();
        let question = VouchQuestion {
            life: news.life,
            asked: BootInstant(Duration::from_millis(news.asked_ms)),
        };
        if question.life != life || question.asked > now {
            return;
        }
        let Some(known) = StatedShift(news.shift_ms).on_askers_clock(question, now) else { return };
        let steady = Instant::now();
        let stated = StatedView {
            position: SourcePosition(news.position),
            behind: news.span.as_ref().map(|span| SourcePosition(span.behind)),
            version: ConfigVersion(news.version),
            known,
        };
        let version = self.configuration_version();
        let in_force = ViewInForce { version, confirmed: self.confirmed_since() };
        let verdict = self.change_view(|view| view.judge(stated, in_force));
        if verdict.progresses {
            self.knowledge.duty.borrow_mut().note_newer(sender, steady);
        }
        if let Some(span) = news.span.filter(|_| verdict.takes_servers) {
            let grace = Duration::from_millis(u64::from(news.grace_ms));
            self.adopt_span(span, grace, steady);
        }
        if verdict.needs_read {
            self.poke();
        }
        if verdict.confirms {
            self.knowledge.hops.set(news.hops);
            self.metrics.news_age.observe(now.since(known).as_secs_f64());
            self.metrics.news_hops.observe(f64::from(news.hops));
            self.note_list_contact(false, steady);
            self.note_confirmation(known);
        }
        if verdict.progresses {
            self.tell_followers();
        }
    }

    /// Takes over changes of servers, how long lapsed ones may still come back, and evacuations.
    fn adopt_span(&self, span: NewsSpan, grace: Duration, now: Instant) {
        for change in span.changes {
            match change {
                ServerNews::Present(server) => self.adopt_server(server, now),
                ServerNews::Gone { name, lingers } => self.adopt_departure(&name, lingers, now),
            }
        }
        self.adopt_grace(grace, now);
        self.replace_evacuations(span.evacuations);
        self.note_beliefs();
        // Entries that lapsed in an outage are given up at slightly different times.
        match grace.is_zero() {
            true => self.compare_beliefs(BeliefDigest(span.digest), now),
            false => self.knowledge.differs_since.set(None),
        }
    }

    /// Reads everything again where this router believes something else than the one it follows for as long
    /// as it would take to read by itself: a departure that was kept from it then has an effect as soon as without
    /// others. No way to that is known; it bounds what a mistake in either could do.
    fn compare_beliefs(&self, told: BeliefDigest, now: Instant) {
        if self.knowledge.journal.borrow().digest() == told {
            self.knowledge.differs_since.set(None);
            return;
        }
        let since = self.knowledge.differs_since.get().unwrap_or(now);
        self.knowledge.differs_since.set(Some(since));
        if now.saturating_duration_since(since) >= self.settings.read_bounds().interval() {
            log::warn!("servers differ from those of the router that is followed, reading all");
            self.knowledge.differs_since.set(None);
            self.forget_position();
            self.poke();
        }
    }

    /// Notes what is believed now, for those who follow this router.
    pub(in crate::direct) fn note_beliefs(&self) {
        let Some(position) = self.source_position() else { return };
        let (presence, departures) = (self.presence.borrow(), self.departures.borrow());
        let mut journal = self.knowledge.journal.borrow_mut();
        journal.note(presence.catalog(), position, |server| departures.lingers(server));
    }

    fn tell_followers(&self) {
        self.knowledge.advanced.take().trigger();
    }

    fn news_for(&self, entry: &FollowerEntry) -> Option<FleetNews> {
        let known = self.confirmed_since()?;
        let journal = self.knowledge.journal.borrow();
        let position = journal.position()?;
        let span = journal.since(entry.position);
        let question = entry.question.question;
        let grace = self.presence.borrow().grace_left(Instant::now());
        Some(FleetNews {
            life: question.life,
            asked_ms: u64::try_from(question.asked.0.as_millis()).ok()?,
            shift_ms: entry.question.shift_to(known).0,
            position: position.0,
            version: self.knowledge.view.get().newest(self.configuration_version()).0,
            hops: self.knowledge.hops.get() + 1,
            grace_ms: u32::try_from(grace.as_millis()).unwrap_or(u32::MAX),
            span: span
                .filter(|span| span.changes.len() <= MOST_CHANGES)
                .map(|span| told_span(span, self.evacuation_orders())),
        })
    }
}

fn told_span(span: BeliefSpan, evacuations: Vec<EvacuationOrder>) -> NewsSpan {
    let changes = span.changes.into_iter().map(|change| match change {
        BeliefChange::Present(server) => ServerNews::Present((*server).clone()),
        BeliefChange::Gone { name, lingers } => ServerNews::Gone { name, lingers },
    });
    NewsSpan {
        behind: span.behind.0,
        changes: changes.collect(),
        digest: span.digest.0,
        evacuations,
    }
}
