//! Bodies written and read through the store, on a disk that a test fills, breaks and hangs.

use async_executor::LocalExecutor;
use futures_lite::future::{block_on, or, poll_once, zip};
use proptest::prelude::*;
use sorrelhaven_body_store::{
    BLOCK_BYTES, BodyEnd, BodyReadError, BodyStore, BodyWriter, RequestBody, RequestBodyReader, StorageTier,
    StorageUsage,
};
use sorrelhaven_config::{BodyFiles, BodyMemory, BodySettings, NotStoredPolicy};
use sorrelhaven_test_support::{FakeDisk, check_cases, sample_bytes};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

const KIB: u64 = 1024;
const MIB: u64 = 1024 * KIB;

/// The limits of one tier, in bytes.
struct TierLimits {
    per_body: u64,
    total: u64,
}

fn tier(per_body: u64, total: u64) -> TierLimits {
    TierLimits { per_body, total }
}

fn settings(memory: TierLimits, files: TierLimits) -> BodySettings {
    BodySettings {
        largest_bytes: 64 * MIB,
        memory: BodyMemory { each_bytes: memory.per_body, total_bytes: memory.total },
        files: BodyFiles {
            directory: Some(PathBuf::from("fake-disk")),
            each_bytes: files.per_body,
            total_bytes: files.total,
            leave_free_bytes: 0,
        },
        ..BodySettings::default()
    }
}

fn store(settings: &BodySettings, disk: &FakeDisk) -> Rc<BodyStore> {
    BodyStore::new(settings, 1, Some(Arc::new(disk.clone())), || Some(Box::new(())))
}

async fn write(mut writer: BodyWriter, bytes: &[u8], piece: usize) -> Result<BodyEnd, BodyEnd> {
    for piece in bytes.chunks(piece.max(1)) {
        writer.push(piece).await?;
    }
    Ok(writer.finish().await)
}

async fn read(mut reader: RequestBodyReader) -> Result<Vec<u8>, BodyReadError> {
    let mut out = Vec::new();
    while reader.read_next(&mut out).await? {}
    Ok(out)
}

fn upload(store: &Rc<BodyStore>, bytes: &[u8]) -> (RequestBody, BodyEnd) {
    let writer = store.begin_upload(0, Some(bytes.len() as u64)).ok().expect("not too long");
    let body = writer.body();
    let end = block_on(write(writer, bytes, 30_000)).expect("it is stored");
    (body, end)
}

/// Waits until all files were deleted, which happens on a thread of its own.
fn wait_until_empty(disk: &FakeDisk) {
    let deadline = Instant::now() + Duration::from_secs(5);
    while disk.files() > 0 {
        assert!(Instant::now() < deadline, "a file was not deleted");
        std::thread::yield_now();
    }
    assert_eq!(disk.used(), 0);
}

fn metric(store: &BodyStore, name: &str) -> u64 {
    store.metrics().iter().find(|metric| metric.0 == name).expect("a metric of that name").1
}

/// Checks what two readers got of a body, by how the body ended. Memory holds bodies of up to 100 KiB.
fn check_reads(
    sent: &Vec<u8>,
    reject: bool,
    end: Result<BodyEnd, BodyEnd>,
    results: [&Result<Vec<u8>, BodyReadError>; 2],
) -> Result<(), TestCaseError> {
    let fits_memory = sent.len() as u64 <= 100 * KIB;
    match end {
        Ok(BodyEnd::Streamed) => {
            prop_assert!(!reject && !fits_memory);
            // At least one reader gets all of it, and the other one gets that or an error.
            let complete = results.iter().filter(|result| result.as_ref() == Ok(sent)).count();
            let consumed = Err(BodyReadError::Consumed);
            let errors = results.iter().filter(|result| ***result == consumed).count();
            let are_expected = complete >= 1 && complete + errors == 2;
            prop_assert!(are_expected, "{} complete, {} errors", complete, errors);
        }
        Ok(end) => {
            prop_assert!(matches!(end, BodyEnd::InMemory | BodyEnd::InFile));
            prop_assert_eq!(end == BodyEnd::InMemory, fits_memory);
            prop_assert!(results.iter().all(|result| result.as_ref() == Ok(sent)));
        }
        Err(end) => {
            prop_assert!(reject && matches!(end, BodyEnd::BudgetExhausted | BodyEnd::DiskFull), "{:?}", end);
            prop_assert!(results.iter().all(|result| **result == Err(BodyReadError::Ended(end))));
        }
    }
    Ok(())
}

/// Whatever the length, the pieces, the tier and the readers: what is read is what was written, byte for
/// byte.
#[test]
fn a_body_is_read_as_it_was_written() {
    let cases = (0usize..400_000, 1usize..200_000, any::<bool>(), 0u64..3, any::<u64>(), any::<bool>());
    check_cases(160, cases, |(length, piece, is_declared, room, seed, reject)| {
        let disk = FakeDisk::new([0, 150 * KIB, 10 * MIB][room as usize]);
        let mut settings = settings(tier(100 * KIB, MIB), tier(300 * KIB, MIB));
        settings.not_stored = if reject { NotStoredPolicy::Reject } else { NotStoredPolicy::Stream };
        let store = store(&settings, &disk);
        let sent = sample_bytes(length, seed);
        let begun = store.begin_upload(0, is_declared.then_some(length as u64));
        let Ok(writer) = begun else {
            prop_assert!(reject && length as u64 > 100 * KIB);
            return Ok(());
        };
        let body = writer.body();
        let (first, second) = (read(body.reader()), read(body.reader()));
        let write = write(writer, &sent, piece);
        let (end, (first, second)) = block_on(zip(write, zip(first, second)));
        check_reads(&sent, reject, end, [&first, &second])?;
        drop(body);
        prop_assert_eq!(store.usage(), StorageUsage::default());
        Ok(())
    });
}

/// Uploads and reads bodies of 400 kB at the same time, and returns how each ended.
fn upload_burst(store: &Rc<BodyStore>, count: u64) -> Vec<(BodyEnd, RequestBody)> {
    let executor = LocalExecutor::new();
    let upload = |index| {
        let store = store.clone();
        executor.spawn(async move {
            let sent = sample_bytes(400_000, 100 + index);
            let writer = store.begin_upload(0, Some(sent.len() as u64)).ok().expect("not too long");
            let body = writer.body();
            let (end, got) = zip(write(writer, &sent, 20_000), read(body.reader())).await;
            assert_eq!(got.expect("its only reader gets all of it"), sent, "body {index}");
            (end.expect("not rejected"), body)
        })
    };
    let burst: Vec<_> = (0..count).map(upload).collect();
    block_on(executor.run(async {
        let mut ended = Vec::new();
        for task in burst {
            ended.push(task.await);
        }
        ended
    }))
}

/// Once the bodies on the disk are released and the backoff is over, one body tries the disk again.
fn wait_until_files_are_used(store: &Rc<BodyStore>) {
    let deadline = Instant::now() + Duration::from_secs(8);
    loop {
        let sent = sample_bytes(300_000, 7);
        let writer = store.begin_upload(0, Some(sent.len() as u64)).ok().expect("not too long");
        let body = writer.body();
        let (end, got) = block_on(zip(write(writer, &sent, 20_000), read(body.reader())));
        assert_eq!(got, Ok(sent));
        if end == Ok(BodyEnd::InFile) {
            return;
        }
        assert!(Instant::now() < deadline, "files are not used again: {end:?}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// The disk fills up during a burst of uploads: bodies in flight are streamed and none is corrupt, those in
/// memory are not affected, and when there is room again files are used again.
#[test]
fn a_disk_that_fills_up_corrupts_no_body() {
    let disk = FakeDisk::new(2 * MIB);
    let store = store(&settings(tier(64 * KIB, MIB), tier(MIB, 64 * MIB)), &disk);
    let small: Vec<_> = (0..8).map(|seed| sample_bytes(1_000, seed)).collect();
    let in_memory: Vec<_> = small.iter().map(|sent| upload(&store, sent)).collect();
    let ended = upload_burst(&store, 12);
    let count = |end| ended.iter().filter(|(other, _)| *other == end).count();
    assert!(count(BodyEnd::InFile) >= 1, "some found room");
    assert!(count(BodyEnd::Streamed) >= 1, "some did not");
    assert_eq!(count(BodyEnd::InFile) + count(BodyEnd::Streamed), 12);
    assert!(metric(&store, "not_stored_disk_full") >= 1 && disk.used() <= 2 * MIB);
    for ((body, end), sent) in in_memory.into_iter().zip(small) {
        assert_eq!((end, block_on(read(body.reader()))), (BodyEnd::InMemory, Ok(sent)));
    }
    drop(ended);
    wait_until_files_are_used(&store);
}

/// A disk slower than the client is disabled, not waited for: what it did not take is streamed from memory.
#[test]
fn a_disk_that_hangs_is_disabled() {
    let disk = FakeDisk::new(64 * MIB);
    let store = store(&settings(tier(64 * KIB, MIB), tier(8 * MIB, 64 * MIB)), &disk);
    disk.set(|faults| faults.hangs = true);
    let sent = sample_bytes(1_000_000, 3);
    let started_at = Instant::now();
    let writer = store.begin_upload(0, None).ok().expect("no length");
    let body = writer.body();
    let (end, got) = block_on(zip(write(writer, &sent, 20_000), read(body.reader())));
    assert_eq!((end, got), (Ok(BodyEnd::Streamed), Ok(sent)));
    assert!(started_at.elapsed() < Duration::from_secs(1), "{:?}", started_at.elapsed());
    assert_eq!(metric(&store, "not_stored_disk_slow"), 1);
    // While the disk is disabled no other body waits for it at all.
    let writer = store.begin_upload(0, Some(500_000)).ok().expect("not too long");
    assert_eq!(writer.body().tier(), StorageTier::NotStored);
    disk.set(|faults| faults.hangs = false);
}

/// Blocks that are read from a file are verified: no corrupt byte is returned.
#[test]
fn a_block_with_a_wrong_checksum_is_not_returned() {
    let disk = FakeDisk::new(64 * MIB);
    let store = store(&settings(tier(64 * KIB, MIB), tier(8 * MIB, 64 * MIB)), &disk);
    disk.set(|faults| faults.forgets_after = Some(2));
    let sent = sample_bytes(5 * BLOCK_BYTES, 9);
    let (body, end) = upload(&store, &sent);
    assert_eq!(end, BodyEnd::InFile);
    let (mut reader, mut out) = (body.reader(), Vec::new());
    let error = block_on(async {
        loop {
            match reader.read_next(&mut out).await {
                Ok(true) => {}
                other => return other,
            }
        }
    });
    assert_eq!(error, Err(BodyReadError::Corrupt));
    assert_eq!(out, sent[..2 * BLOCK_BYTES], "the blocks before it are intact");
    disk.set(|faults| faults.reads_fail = true);
    assert_eq!(block_on(read(body.reader())), Err(BodyReadError::Failed));
}

/// A write that fails loses nothing of the body: a part is on the disk and the rest in memory.
#[test]
fn a_disk_that_fails_in_mid_body_loses_nothing() {
    let disk = FakeDisk::new(64 * MIB);
    let store = store(&settings(tier(64 * KIB, MIB), tier(8 * MIB, 64 * MIB)), &disk);
    let sent = sample_bytes(700_000, 4);
    let mut writer = store.begin_upload(0, None).ok().expect("no length");
    let body = writer.body();
    let end = block_on(async {
        writer.push(&sent[..300_000]).await?;
        disk.set(|faults| faults.writes_fail = true);
        let (end, got) = zip(write(writer, &sent[300_000..], 9_999), read(body.reader())).await;
        assert_eq!(got, Ok(sent.clone()));
        end
    });
    assert_eq!(end, Ok(BodyEnd::Streamed));
    assert_eq!(metric(&store, "not_stored_disk_failed"), 1);
    wait_until_empty(&disk);
}

/// A body is spilled while attempts are already reading it, and one of them is cancelled in mid-read.
#[test]
fn a_body_is_spilled_to_a_file_while_it_is_read() {
    let disk = FakeDisk::new(64 * MIB);
    let store = store(&settings(tier(2 * MIB, 3 * MIB), tier(8 * MIB, 64 * MIB)), &disk);
    let sent = sample_bytes(1_500_000, 5);
    let (body, end) = upload(&store, &sent);
    assert_eq!((end, disk.files()), (BodyEnd::InMemory, 0));
    block_on(or(store.clone().run_spiller(), async {
        let (mut reader, mut cancelled) = (body.reader(), body.reader());
        let mut out = Vec::new();
        assert_eq!(reader.read_next(&mut out).await, Ok(true));
        assert_eq!(cancelled.read_next(&mut Vec::new()).await, Ok(true));
        // The operators lower the limits under load.
        store
            .configure(&settings(tier(64 * KIB, MIB), tier(8 * MIB, 64 * MIB)), Some(Arc::new(disk.clone())));
        while metric(&store, "bodies_spilled") == 0 {
            assert_eq!(
                reader.read_next(&mut out).await,
                Ok(true),
                "it is spilled before it is read to its end"
            );
            futures_lite::future::yield_now().await;
            async_io::Timer::after(Duration::from_millis(5)).await;
        }
        let usage = StorageUsage { memory_bytes: 0, file_bytes: 1_500_000 };
        assert_eq!((body.tier(), store.usage()), (StorageTier::File, usage));
        // Its read from the file is started and not waited for.
        let _ = poll_once(cancelled.read_next(&mut Vec::new())).await;
        drop(cancelled);
        let (first, second) = zip(read(body.reader()), read(body.reader())).await;
        assert!(first.as_ref() == Ok(&sent) && second.as_ref() == Ok(&sent), "two readers of one file");
        while reader.read_next(&mut out).await == Ok(true) {}
        assert_eq!(out, sent, "the part from memory and the part from the file");
    }));
}

/// A body that is not stored uses no more memory than a fixed buffer, however fast it arrives.
#[test]
fn a_body_that_is_not_stored_waits_for_its_reader() {
    let store = BodyStore::new(&settings(tier(64 * KIB, MIB), tier(MIB, MIB)), 1, None, || None);
    let mut writer = store.begin_upload(0, Some(10 * MIB)).ok().expect("not too long");
    let body = writer.body();
    assert_eq!(body.tier(), StorageTier::NotStored);
    let sent = sample_bytes(BLOCK_BYTES, 1);
    block_on(async {
        writer.push(&sent).await.expect("there is room");
        assert!(poll_once(writer.push(&sent)).await.is_none(), "no room for a second block");
        let (mut reader, mut out) = (body.reader(), Vec::new());
        assert_eq!(reader.read_next(&mut out).await, Ok(true));
        assert!(reader.is_consumer() && body.is_consumed());
        assert!(poll_once(reader.read_next(&mut out)).await.is_none());
        writer.push(&sent).await.expect("what was read has made room");
        assert_eq!(
            read(body.reader()).await,
            Err(BodyReadError::Consumed),
            "no other reader can have all of it"
        );
    });
}

/// A body for whose file there is no descriptor is not stored either, and waits for its reader as any such
/// body does.
#[test]
fn a_body_without_a_descriptor_for_its_file_waits_for_its_reader() {
    let disk = FakeDisk::new(64 * MIB);
    let settings = settings(tier(64 * KIB, MIB), tier(8 * MIB, 64 * MIB));
    let store = BodyStore::new(&settings, 1, Some(Arc::new(disk.clone())), || None);
    let mut writer = store.begin_upload(0, None).ok().expect("no length");
    let body = writer.body();
    let sent = sample_bytes(BLOCK_BYTES, 1);
    block_on(async {
        for _ in 0..3 {
            writer.push(&sent).await.expect("memory, what outgrew it, and one buffer");
        }
        assert_eq!((body.tier(), disk.files()), (StorageTier::NotStored, 0));
        assert!(poll_once(writer.push(&sent)).await.is_none(), "no room beyond the buffer");
        drop(writer);
        assert_eq!(read(body.reader()).await, Err(BodyReadError::Ended(BodyEnd::RequestConcluded)));
    });
    assert_eq!((metric(&store, "not_stored_budget"), store.usage()), (1, StorageUsage::default()));
}

/// As long as no byte that is not stored was read, another attempt can have the complete body.
#[test]
fn the_stored_front_of_a_body_can_be_read_again() {
    let store = BodyStore::new(&settings(tier(128 * KIB, 128 * KIB), tier(MIB, MIB)), 1, None, || None);
    let mut writer = store.begin_upload(0, None).ok().expect("no length");
    let body = writer.body();
    let sent = sample_bytes(200_000, 2);
    block_on(async {
        for piece in sent[..120_000].chunks(10_000) {
            writer.push(piece).await.expect("room");
        }
        let mut dropped = body.reader();
        let mut discarded = Vec::new();
        assert_eq!(dropped.read_next(&mut discarded).await, Ok(true));
        drop(dropped);
        assert!(!body.is_consumed());
        let (end, got) = zip(write(writer, &sent[120_000..], 10_000), read(body.reader())).await;
        assert_eq!((end, got), (Ok(BodyEnd::Streamed), Ok(sent.clone())));
        assert!(body.is_consumed());
    });
}

/// A client that disconnects in mid-body releases everything at once, and its attempts get an error.
#[test]
fn a_client_that_disconnects_releases_everything_at_once() {
    let disk = FakeDisk::new(64 * MIB);
    let store = store(&settings(tier(64 * KIB, MIB), tier(8 * MIB, 64 * MIB)), &disk);
    let mut writer = store.begin_upload(0, Some(MIB)).ok().expect("not too long");
    let body = writer.body();
    block_on(writer.push(&sample_bytes(500_000, 1))).expect("it is stored");
    assert_eq!((disk.files(), store.usage().file_bytes), (1, 500_000));
    assert_eq!(writer.end(BodyEnd::ClientDisconnected), BodyEnd::ClientDisconnected);
    assert_eq!(store.usage(), StorageUsage::default());
    assert_eq!(block_on(read(body.reader())), Err(BodyReadError::Ended(BodyEnd::ClientDisconnected)));
    drop(writer);
    assert_eq!(metric(&store, "body_client_disconnected"), 1, "one end each");
    wait_until_empty(&disk);
}

/// Each end that needs no disk is counted under its own name.
#[test]
fn every_end_is_counted_by_its_name() {
    let mut rejecting = settings(tier(64 * KIB, 64 * KIB), tier(MIB, MIB));
    rejecting.largest_bytes = MIB;
    rejecting.not_stored = NotStoredPolicy::Reject;
    let store = BodyStore::new(&rejecting, 1, None, || None);
    for (length, end) in [(MIB + 1, BodyEnd::TooLarge), (MIB, BodyEnd::BudgetExhausted)] {
        let (found, body) = store.begin_upload(0, Some(length)).err().expect("it is rejected");
        assert_eq!((found, body.end()), (end, Some(end)));
    }
    drop(store.begin_upload(0, Some(9)));
    let mut writer = store.begin_upload(0, Some(9)).ok().expect("it fits");
    block_on(writer.push(b"some")).expect("it fits");
    drop(writer);
    store.begin_upload(0, Some(9)).ok().expect("it fits").end(BodyEnd::TooSlow);
    for (name, count) in [
        ("body_too_large", 1),
        ("body_budget_exhausted", 1),
        ("body_never_started", 1),
        ("body_request_concluded", 1),
    ] {
        assert_eq!(metric(&store, name), count, "{name}");
    }
    assert_eq!(metric(&store, "body_too_slow"), 1);
    assert_eq!(store.usage(), StorageUsage::default());
}
