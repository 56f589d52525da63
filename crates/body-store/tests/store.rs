//! Bodies written and read through the store, on a simulated disk that fills up, fails or hangs.

use async_executor::LocalExecutor;
use futures_lite::future::{block_on, or, poll_once, zip};
use proptest::prelude::*;
use sorrelhaven_body_store::{
    BLOCK_BYTES, BodyEnd, BodyReadError, BodyStore, BodyWriter, RequestBody, RequestBodyReader,
    SharedBudgets, StorageTier, StorageUsage,
};
use sorrelhaven_config::{BodyFiles, BodyMemory, BodySettings, NotStoredPolicy};
use sorrelhaven_test_support::{FakeDisk, check_cases, sample_bytes};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

const KIB: u64 = 1024;
const MIB: u64 = 1024 * KIB;

/// The limits for memory or for files, in bytes.
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
    BodyStore::new(settings, 1, Some(Arc::new(disk.clone())), SharedBudgets::unlimited())
}

/// Permits of a node without a free descriptor for a file.
fn no_files() -> SharedBudgets {
    SharedBudgets { file_permits: Box::new(|| None), ..SharedBudgets::unlimited() }
}

async fn write(mut writer: BodyWriter, bytes: &[u8], piece_length: usize) -> Result<BodyEnd, BodyEnd> {
    for piece in bytes.chunks(piece_length.max(1)) {
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
    let writer = store.begin_upload(0, Some(bytes.len() as u64)).ok().expect("the body is not rejected");
    let body = writer.body();
    let end = block_on(write(writer, bytes, 30_000)).expect("the body is not rejected");
    (body, end)
}

/// Waits until all files are deleted, which a thread of the `blocking` pool does.
fn wait_until_empty(disk: &FakeDisk) {
    let deadline = Instant::now() + Duration::from_secs(5);
    while disk.file_count() > 0 {
        assert!(Instant::now() < deadline, "a file is not deleted within 5 s");
        std::thread::yield_now();
    }
    assert_eq!(disk.used_bytes(), 0);
}

fn metric(store: &BodyStore, name: &str) -> u64 {
    store.metrics().iter().find(|metric| metric.0 == name).expect("the metric exists").1
}

/// Checks what two readers have read of a body, depending on how its upload ended. The limit for a body in
/// memory is 100 KiB.
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
            // At least one reader reads the whole body. The other one does too, or fails.
            let complete = results.iter().filter(|result| result.as_ref() == Ok(sent)).count();
            let consumed = Err(BodyReadError::Consumed);
            let errors = results.iter().filter(|result| ***result == consumed).count();
            let are_expected = complete >= 1 && complete + errors == 2;
            prop_assert!(are_expected, "{} readers have the whole body, {} have failed", complete, errors);
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

/// For any length of the body and of its pieces, on disks of several sizes, two concurrent readers read the
/// bytes that were written, or fail as the end of the upload allows.
#[test]
fn a_body_is_read_as_it_was_written() {
    let cases = (0usize..400_000, 1usize..200_000, any::<bool>(), 0u64..3, any::<u64>(), any::<bool>());
    check_cases(160, cases, |(length, piece_length, is_declared, disk_size, seed, reject)| {
        let disk = FakeDisk::new([0, 150 * KIB, 10 * MIB][disk_size as usize]);
        let mut settings = settings(tier(100 * KIB, MIB), tier(300 * KIB, MIB));
        settings.not_stored = if reject { NotStoredPolicy::Reject } else { NotStoredPolicy::Stream };
        let store = store(&settings, &disk);
        let sent = sample_bytes(length, seed);
        let upload = store.begin_upload(0, is_declared.then_some(length as u64));
        let Ok(writer) = upload else {
            prop_assert!(reject && length as u64 > 100 * KIB);
            return Ok(());
        };
        let body = writer.body();
        let (first, second) = (read(body.reader()), read(body.reader()));
        let write = write(writer, &sent, piece_length);
        let (end, (first, second)) = block_on(zip(write, zip(first, second)));
        check_reads(&sent, reject, end, [&first, &second])?;
        drop(body);
        prop_assert_eq!(store.usage(), StorageUsage::default());
        Ok(())
    });
}

/// Uploads and reads `count` bodies of 400 kB concurrently, and returns the end of each upload and its body.
fn upload_burst(store: &Rc<BodyStore>, count: u64) -> Vec<(BodyEnd, RequestBody)> {
    let executor = LocalExecutor::new();
    let upload = |index| {
        let store = store.clone();
        executor.spawn(async move {
            let sent = sample_bytes(400_000, 100 + index);
            let writer =
                store.begin_upload(0, Some(sent.len() as u64)).ok().expect("the body is not rejected");
            let body = writer.body();
            let (end, received) = zip(write(writer, &sent, 20_000), read(body.reader())).await;
            assert_eq!(received.expect("the only reader reads the whole body"), sent, "body {index}");
            (end.expect("the body is not rejected"), body)
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

/// Uploads bodies until one is stored in a file, which is expected once the backoff of the disk has elapsed.
fn wait_until_files_are_used(store: &Rc<BodyStore>) {
    let deadline = Instant::now() + Duration::from_secs(8);
    loop {
        let sent = sample_bytes(300_000, 7);
        let writer = store.begin_upload(0, Some(sent.len() as u64)).ok().expect("the body is not rejected");
        let body = writer.body();
        let (end, received) = block_on(zip(write(writer, &sent, 20_000), read(body.reader())));
        assert_eq!(received, Ok(sent));
        if end == Ok(BodyEnd::InFile) {
            return;
        }
        assert!(Instant::now() < deadline, "the disk is not used again within 8 s: {end:?}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// The disk fills up during concurrent uploads: bodies for which there is no room are streamed, and every
/// body is read as it was sent. Bodies in memory are not affected. Files are used again once the disk has
/// room.
#[test]
fn a_disk_that_fills_up_corrupts_no_body() {
    let disk = FakeDisk::new(2 * MIB);
    let store = store(&settings(tier(64 * KIB, MIB), tier(MIB, 64 * MIB)), &disk);
    let small: Vec<_> = (0..8).map(|seed| sample_bytes(1_000, seed)).collect();
    let in_memory: Vec<_> = small.iter().map(|sent| upload(&store, sent)).collect();
    let ended = upload_burst(&store, 12);
    let count = |end| ended.iter().filter(|(other, _)| *other == end).count();
    assert!(count(BodyEnd::InFile) >= 1, "at least one body is stored in a file");
    assert!(count(BodyEnd::Streamed) >= 1, "at least one body finds the disk full");
    assert_eq!(count(BodyEnd::InFile) + count(BodyEnd::Streamed), 12);
    assert!(metric(&store, "not_stored_disk_full") >= 1 && disk.used_bytes() <= 2 * MIB);
    for ((body, end), sent) in in_memory.into_iter().zip(small) {
        assert_eq!((end, block_on(read(body.reader()))), (BodyEnd::InMemory, Ok(sent)));
    }
    drop(ended);
    wait_until_files_are_used(&store);
}

/// A write that hangs disables the disk after a timeout, so that uploads don't wait for it. The bytes that
/// were not written are streamed from memory.
#[test]
fn a_disk_that_hangs_is_disabled() {
    let disk = FakeDisk::new(64 * MIB);
    let store = store(&settings(tier(64 * KIB, MIB), tier(8 * MIB, 64 * MIB)), &disk);
    disk.update_faults(|faults| faults.writes_hang = true);
    let sent = sample_bytes(1_000_000, 3);
    let started_at = Instant::now();
    let writer = store.begin_upload(0, None).ok().expect("the body is not rejected");
    let body = writer.body();
    let (end, received) = block_on(zip(write(writer, &sent, 20_000), read(body.reader())));
    assert_eq!((end, received), (Ok(BodyEnd::Streamed), Ok(sent)));
    assert!(started_at.elapsed() < Duration::from_secs(1), "{:?}", started_at.elapsed());
    assert_eq!(metric(&store, "not_stored_disk_slow"), 1);
    // While the disk is disabled, a new body is not assigned to it, and doesn't wait.
    let writer = store.begin_upload(0, Some(500_000)).ok().expect("the body is not rejected");
    assert_eq!(writer.body().tier(), StorageTier::NotStored);
    disk.update_faults(|faults| faults.writes_hang = false);
}

/// The checksum of each block read from a file is verified, so that no corrupt byte is returned.
#[test]
fn a_block_with_a_wrong_checksum_is_not_returned() {
    let disk = FakeDisk::new(64 * MIB);
    let store = store(&settings(tier(64 * KIB, MIB), tier(8 * MIB, 64 * MIB)), &disk);
    disk.update_faults(|faults| faults.writes_lost_after = Some(2));
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
    assert_eq!(out, sent[..2 * BLOCK_BYTES], "the blocks before the corrupt one are returned");
    disk.update_faults(|faults| faults.reads_fail = true);
    assert_eq!(block_on(read(body.reader())), Err(BodyReadError::Failed));
}

/// When a write fails, the blocks already written are in the file and the others are still in memory, so the
/// body is read without loss.
#[test]
fn a_disk_that_fails_in_mid_body_loses_nothing() {
    let disk = FakeDisk::new(64 * MIB);
    let store = store(&settings(tier(64 * KIB, MIB), tier(8 * MIB, 64 * MIB)), &disk);
    let sent = sample_bytes(700_000, 4);
    let mut writer = store.begin_upload(0, None).ok().expect("the body is not rejected");
    let body = writer.body();
    let end = block_on(async {
        writer.push(&sent[..300_000]).await?;
        disk.update_faults(|faults| faults.writes_fail = true);
        let (end, received) = zip(write(writer, &sent[300_000..], 9_999), read(body.reader())).await;
        assert_eq!(received, Ok(sent.clone()));
        end
    });
    assert_eq!(end, Ok(BodyEnd::Streamed));
    assert_eq!(metric(&store, "not_stored_disk_failed"), 1);
    wait_until_empty(&disk);
}

/// A complete body is spilled while attempts are reading it, and one of them is cancelled during a read. The
/// other readers read the whole body.
#[test]
fn a_body_is_spilled_to_a_file_while_it_is_read() {
    let disk = FakeDisk::new(64 * MIB);
    let store = store(&settings(tier(2 * MIB, 3 * MIB), tier(8 * MIB, 64 * MIB)), &disk);
    let sent = sample_bytes(1_500_000, 5);
    let (body, end) = upload(&store, &sent);
    assert_eq!((end, disk.file_count()), (BodyEnd::InMemory, 0));
    block_on(or(store.clone().run_spiller(), async {
        let (mut reader, mut cancelled) = (body.reader(), body.reader());
        let mut out = Vec::new();
        assert_eq!(reader.read_next(&mut out).await, Ok(true));
        assert_eq!(cancelled.read_next(&mut Vec::new()).await, Ok(true));
        // A reload lowers the limits while the body is being read.
        store
            .configure(&settings(tier(64 * KIB, MIB), tier(8 * MIB, 64 * MIB)), Some(Arc::new(disk.clone())));
        while metric(&store, "bodies_spilled") == 0 {
            assert_eq!(
                reader.read_next(&mut out).await,
                Ok(true),
                "the body is spilled before the reader reaches its end"
            );
            futures_lite::future::yield_now().await;
            async_io::Timer::after(Duration::from_millis(5)).await;
        }
        let usage = StorageUsage { memory_bytes: 0, file_bytes: 1_500_000 };
        assert_eq!((body.tier(), store.usage()), (StorageTier::File, usage));
        // Starts a read from the file and drops the reader before the read returns.
        let _ = poll_once(cancelled.read_next(&mut Vec::new())).await;
        drop(cancelled);
        let (first, second) = zip(read(body.reader()), read(body.reader())).await;
        assert!(
            first.as_ref() == Ok(&sent) && second.as_ref() == Ok(&sent),
            "two concurrent readers read the whole file"
        );
        while reader.read_next(&mut out).await == Ok(true) {}
        assert_eq!(out, sent, "the first part is read from memory and the rest from the file");
    }));
}

/// The writer of a body that is not stored waits while a block of it is unread, so that memory use is bounded
/// however fast the body arrives.
#[test]
fn a_body_that_is_not_stored_waits_for_its_reader() {
    let store = BodyStore::new(&settings(tier(64 * KIB, MIB), tier(MIB, MIB)), 1, None, no_files());
    let mut writer = store.begin_upload(0, Some(10 * MIB)).ok().expect("the body is not rejected");
    let body = writer.body();
    assert_eq!(body.tier(), StorageTier::NotStored);
    let sent = sample_bytes(BLOCK_BYTES, 1);
    block_on(async {
        writer.push(&sent).await.expect("the body is not rejected");
        assert!(
            poll_once(writer.push(&sent)).await.is_none(),
            "the writer waits before a second unread block"
        );
        let (mut reader, mut out) = (body.reader(), Vec::new());
        while out.len() < BLOCK_BYTES {
            assert_eq!(reader.read_next(&mut out).await, Ok(true));
        }
        assert!(reader.is_consumer() && body.is_consumed());
        assert!(poll_once(reader.read_next(&mut out)).await.is_none());
        writer.push(&sent).await.expect("the body is not rejected");
        assert_eq!(
            read(body.reader()).await,
            Err(BodyReadError::Consumed),
            "no other reader can read the whole body"
        );
    });
}

/// If the node's budget of file descriptors is used up, a body that memory can't hold is not stored, and its
/// writer waits for the reader.
#[test]
fn a_body_without_a_descriptor_for_its_file_waits_for_its_reader() {
    let disk = FakeDisk::new(64 * MIB);
    let settings = settings(tier(64 * KIB, MIB), tier(8 * MIB, 64 * MIB));
    let store = BodyStore::new(&settings, 1, Some(Arc::new(disk.clone())), no_files());
    let mut writer = store.begin_upload(0, None).ok().expect("the body is not rejected");
    let body = writer.body();
    let sent = sample_bytes(BLOCK_BYTES, 1);
    block_on(async {
        // Three blocks are accepted without a reader: the one that memory can hold, the one that outgrows it
        // and stays in memory since no file can be created, and one unread block that is not stored.
        for _ in 0..3 {
            writer.push(&sent).await.expect("the body is not rejected");
        }
        assert_eq!((body.tier(), disk.file_count()), (StorageTier::NotStored, 0));
        assert!(
            poll_once(writer.push(&sent)).await.is_none(),
            "the writer waits before a second unread block"
        );
        drop(writer);
        assert_eq!(read(body.reader()).await, Err(BodyReadError::Ended(BodyEnd::RequestConcluded)));
    });
    assert_eq!((metric(&store, "not_stored_budget"), store.usage()), (1, StorageUsage::default()));
}

/// Until a reader has received a byte that is not stored, another reader can still read the complete body.
#[test]
fn the_stored_front_of_a_body_can_be_read_again() {
    let store = BodyStore::new(&settings(tier(128 * KIB, 128 * KIB), tier(MIB, MIB)), 1, None, no_files());
    let mut writer = store.begin_upload(0, None).ok().expect("the body is not rejected");
    let body = writer.body();
    let sent = sample_bytes(200_000, 2);
    block_on(async {
        for piece in sent[..120_000].chunks(10_000) {
            writer.push(piece).await.expect("memory has room");
        }
        let mut dropped = body.reader();
        let mut discarded = Vec::new();
        assert_eq!(dropped.read_next(&mut discarded).await, Ok(true));
        drop(dropped);
        assert!(!body.is_consumed());
        let (end, received) = zip(write(writer, &sent[120_000..], 10_000), read(body.reader())).await;
        assert_eq!((end, received), (Ok(BodyEnd::Streamed), Ok(sent.clone())));
        assert!(body.is_consumed());
    });
}

/// A client that disconnects during the upload releases the memory and the file of its body at once, and
/// readers fail.
#[test]
fn a_client_that_disconnects_releases_everything_at_once() {
    let disk = FakeDisk::new(64 * MIB);
    let store = store(&settings(tier(64 * KIB, MIB), tier(8 * MIB, 64 * MIB)), &disk);
    let mut writer = store.begin_upload(0, Some(MIB)).ok().expect("the body is not rejected");
    let body = writer.body();
    block_on(writer.push(&sample_bytes(500_000, 1))).expect("the body is not rejected");
    assert_eq!((disk.file_count(), store.usage().file_bytes), (1, 500_000));
    assert_eq!(writer.end(BodyEnd::ClientDisconnected), BodyEnd::ClientDisconnected);
    assert_eq!(store.usage(), StorageUsage::default());
    assert_eq!(block_on(read(body.reader())), Err(BodyReadError::Ended(BodyEnd::ClientDisconnected)));
    drop(writer);
    assert_eq!(metric(&store, "body_client_disconnected"), 1, "an upload is counted once, by its first end");
    wait_until_empty(&disk);
}

/// Each end of an upload that can occur without a disk is counted under its own metric name.
#[test]
fn every_end_is_counted_by_its_name() {
    let mut rejecting = settings(tier(64 * KIB, 64 * KIB), tier(MIB, MIB));
    rejecting.largest_bytes = MIB;
    rejecting.not_stored = NotStoredPolicy::Reject;
    let store = BodyStore::new(&rejecting, 1, None, no_files());
    for (length, end) in [(MIB + 1, BodyEnd::TooLarge), (MIB, BodyEnd::BudgetExhausted)] {
        let (found, body) = store.begin_upload(0, Some(length)).err().expect("the body is rejected");
        assert_eq!((found, body.end()), (end, Some(end)));
    }
    drop(store.begin_upload(0, Some(9)));
    let mut writer = store.begin_upload(0, Some(9)).ok().expect("the body is not rejected");
    block_on(writer.push(b"some")).expect("the body is not rejected");
    drop(writer);
    store.begin_upload(0, Some(9)).ok().expect("the body is not rejected").end(BodyEnd::TooSlow);
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
