//! The parts of an answer that the agent buffers, and the streams that may read them.
#![allow(clippy::unwrap_used, reason = "a test, which may panic")]

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use papayamux_agent::answers::{AnswerRecord, AnswerStore, Attachment, AttachmentKey, StoreLimits};
use papayamux_protocol::link::{
    AgentClock, AgentMessage, AnswerEnd, AnswerHead, OpenRequest, ResumePoint, RetryRule,
    RouterMessage, STREAM_WINDOW_BYTES,
};
use papayamux_protocol::wire::{AgentFrame, RouterFrame};
use papayamux_state::ids::{Incarnation, RequestId};
use papayamux_transport::link::{connect, start_link, LinkReceiver, LinkSender};
use papayamux_transport::listen::listen;
use papayamux_transport::runtime;

const GRACE: Duration = Duration::from_secs(10);

fn store(total_bytes: u64) -> Rc<AnswerStore> {
    let limits = StoreLimits::builder().resume_within(GRACE).cancel_grace(GRACE).keep_for(GRACE);
    AnswerStore::new(limits.total_bytes(total_bytes).answer_bytes(total_bytes).build())
}

fn open(number: u64, retry_rule: RetryRule) -> OpenRequest {
    OpenRequest {
        id: RequestId { incarnation: Incarnation::from(7), number },
        agent: Incarnation::from(8),
        organisation: "desk".parse().unwrap(),
        priority: 0,
        start_before: AgentClock(1_000),
        retry_rule,
        claim: None,
        chat: None,
        method: "POST".to_string(),
        path: "/".to_string(),
        headers: Vec::new(),
        body: Bytes::new(),
        placement: papayamux_protocol::link::PlacementRule::default(),
        sent_after: papayamux_state::crash_record::CrashRecord::default(),
    }
}

type RouterReceiver = LinkReceiver<RouterFrame, AgentFrame>;

/// Opens a connection. Returns the agent's sending half and the router's receiving half.
async fn link() -> (LinkSender<AgentMessage>, RouterReceiver) {
    let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let router = connect(listener.local_addr().unwrap()).await.unwrap();
    let (agent, _) = listener.accept().await.unwrap();
    let (sender, _) = start_link::<AgentFrame, RouterFrame, AgentMessage>(agent).unwrap();
    let (_, receiver) = start_link::<RouterFrame, AgentFrame, RouterMessage>(router).unwrap();
    (sender, receiver)
}

fn on_stream(stream: u64, sender: &LinkSender<AgentMessage>) -> Attachment {
    Attachment { key: AttachmentKey { link: 0, stream }, sender: sender.clone() }
}

/// Appends complete events of one byte each.
async fn append_events(record: &AnswerRecord, count: usize) {
    for number in 0..count {
        record.append(Bytes::from(vec![number as u8]), &[1]).await;
    }
}

/// Reads the data of a stream and checks its offsets. Returns it with the stream's last message.
async fn read_stream(
    receiver: &mut RouterReceiver,
    stream: u64,
    start: u64,
) -> (Vec<u8>, AgentMessage) {
    let mut body = Vec::new();
    loop {
        let addressed = receiver.receive().await.unwrap().unwrap();
        match addressed.message {
            _ if addressed.stream != stream => {}
            AgentMessage::Data(data) => {
                assert_eq!(data.offset, start + body.len() as u64);
                body.extend_from_slice(&data.bytes);
            }
            AgentMessage::Head(_) | AgentMessage::Resumed(_) => {}
            last => return (body, last),
        }
    }
}

#[test]
fn a_lost_answer_resumes_at_the_requested_offset_and_only_on_the_new_stream() {
    runtime::run(async {
        let (sender, mut receiver) = link().await;
        let record =
            store(1024).start_record(&open(1, RetryRule::Idempotent), on_stream(1, &sender));
        record.set_head(AnswerHead { status: 200, headers: Vec::new() }, false);
        append_events(&record, 4).await;
        record.handle_disconnect(on_stream(1, &sender).key);
        append_events(&record, 3).await;
        assert!(record.attach(on_stream(2, &sender), ResumePoint::Offset(2)));
        record.handle_disconnect(on_stream(1, &sender).key);
        record.finish(AnswerEnd::Complete(7));
        let (body, last) = read_stream(&mut receiver, 2, 2).await;
        assert_eq!((body, last), (vec![2, 3, 0, 1, 2], AgentMessage::End(AnswerEnd::Complete(7))));
    })
    .unwrap();
}

#[test]
fn only_a_streamed_chat_keeps_acknowledged_bytes() {
    runtime::run(async {
        let (sender, _receiver) = link().await;
        for keeps_events in [true, false] {
            let store = store(1024);
            let record = store.start_record(&open(1, RetryRule::Idempotent), on_stream(1, &sender));
            record.set_head(AnswerHead { status: 200, headers: Vec::new() }, keeps_events);
            append_events(&record, 6).await;
            record.acknowledge(on_stream(1, &sender).key, 4);
            for (event, held) in [(0, keeps_events), (3, keeps_events), (6, true), (7, false)] {
                let attached = record.attach(on_stream(2, &sender), ResumePoint::AfterEvent(event));
                assert_eq!(attached, held, "after event {event}");
            }
        }
    })
    .unwrap();
}

#[test]
fn a_full_window_blocks_the_run_until_the_reader_expires() {
    runtime::run(async {
        let (sender, _receiver) = link().await;
        let store = store(1024);
        let record =
            store.start_record(&open(1, RetryRule::AtMostOnce(None)), on_stream(1, &sender));
        record.append(Bytes::from(vec![0; STREAM_WINDOW_BYTES as usize]), &[]).await;
        record.handle_disconnect(on_stream(1, &sender).key);
        let mut next = Box::pin(record.append(Bytes::from_static(b"x"), &[]));
        assert!(futures_util::poll!(next.as_mut()).is_pending());
        store.sweep(Instant::now() + GRACE);
        next.await;
        assert!(!record.is_cancelled(), "work that runs at most once runs on");
        assert!(!record.attach(on_stream(2, &sender), ResumePoint::Offset(0)));
    })
    .unwrap();
}

#[test]
fn idempotent_work_without_a_reader_is_cancelled_after_the_grace_period() {
    runtime::run(async {
        let (sender, _receiver) = link().await;
        let store = store(1024);
        let record = store.start_record(&open(1, RetryRule::Idempotent), on_stream(1, &sender));
        record.set_head(AnswerHead { status: 200, headers: Vec::new() }, true);
        record.cancel(on_stream(1, &sender).key);
        store.sweep(Instant::now());
        assert!(!record.is_cancelled() && store.awaited() == 1);
        store.sweep(Instant::now() + GRACE);
        assert!(record.is_cancelled() && store.awaited() == 0);
    })
    .unwrap();
}

#[test]
fn the_store_stays_within_its_byte_limit_and_drops_the_oldest_answers_first() {
    runtime::run(async {
        let (sender, _receiver) = link().await;
        let store = store(1024);
        for number in 0..3 {
            let attachment = on_stream(number, &sender);
            let record = store.start_record(&open(number, RetryRule::Idempotent), attachment);
            record.set_head(AnswerHead { status: 200, headers: Vec::new() }, true);
            record.append(Bytes::from(vec![0; 400]), &[400]).await;
            record.finish(AnswerEnd::Complete(400));
            record.acknowledge_end(on_stream(number, &sender).key);
        }
        store.sweep(Instant::now());
        let held = |number| store.find(&open(number, RetryRule::Idempotent).id).is_some();
        assert_eq!([held(0), held(1), held(2)], [false, true, true]);
        assert!(store.buffered_bytes() <= 1024);
        store.sweep(Instant::now() + GRACE);
        assert_eq!((held(2), store.buffered_bytes()), (false, 0));
    })
    .unwrap();
}
