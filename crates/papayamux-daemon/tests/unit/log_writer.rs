use super::*;

#[test]
fn too_many_lines_in_a_second_are_counted() {
    let mut buffer = LogBuffer::default();
    let now = Instant::now();
    for _ in 0..MAX_LINES_PER_SECOND + 3 {
        buffer.push("line", now);
    }
    let text = String::from_utf8(buffer.take()).unwrap();
    assert_eq!(text.lines().filter(|line| *line == "line").count(), 2_000);
    assert!(text.ends_with("\"message\":\"log lines dropped\",\"count\":3}\n"), "{text:.100}");
    buffer.push("later", now + Duration::from_secs(1));
    assert_eq!(buffer.take(), b"later\n");
}

#[test]
fn waiting_bytes_are_bounded() {
    let mut buffer = LogBuffer::default();
    let line = "x".repeat(MAX_BUFFERED_BYTES / 4);
    for _ in 0..5 {
        buffer.push(&line, Instant::now());
    }
    assert!(buffer.bytes.len() < MAX_BUFFERED_BYTES);
    assert_eq!(buffer.dropped, 2);
}
