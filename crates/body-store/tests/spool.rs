//! BodyStore as they are taken in and given out, on a disk that a test fills, breaks and hangs.

use async_executor::LocalExecutor;
use futures_lite::future::{block_on, or, poll_once, zip};
use proptest::prelude::*;
use sorrelhaven_body_store::{
    BLOCK_BYTES, BodyEnd, BodyReadError, BodyStore, BodyWriter, RequestBody, StorageTier, StoredBodyReader,
};
use sorrelhaven_config::{BodyFiles, BodyMemory, BodySettings, Unkept};
use sorrelhaven_test_support::{FakeDisk, check_cases, sample_bytes};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

const KIB: u64 = 1024;
const MIB: u64 = 1024 * KIB;

fn settings(memory: (u64, u64), files: (u64, u64)) -> BodySettings {
    BodySettings {
        largest_bytes: 64 * MIB,
        memory: BodyMemory { each_bytes: memory.0, total_bytes: memory.1 },
        files: BodyFiles {
            directory: Some(PathBuf::from("stand-in")),
            each_bytes: files.0,
            total_bytes: files.1,
            leave_free_bytes: 0,
        },
        ..BodySettings::default()
    }
}

fn bodies(settings: &BodySettings, disk: &FakeDisk) -> Rc<BodyStore> {
    BodyStore::new(settings, 1, Some(Arc::new(disk.clone())), || Some(Box::new(())))
}

async fn write(mut writer: BodyWriter, bytes: &[u8], piece: usize) -> Result<BodyEnd, BodyEnd> {
    for piece in bytes.chunks(piece.max(1)) {
        writer.push(piece).await?;
    }
    Ok(writer.finish().await)
}

async fn read(mut reader: StoredBodyReader) -> Result<Vec<u8>, BodyReadError> {
    let mut out = Vec::new();
    while reader.next(&mut out).await? {}
    Ok(out)
}

fn keep(bodies: &Rc<BodyStore>, bytes: &[u8]) -> (RequestBody, BodyEnd) {
    let writer = bodies.begin(0, Some(bytes.len() as u64)).ok().expect("not too long");
    let spool = writer.body();
    let end = block_on(write(writer, bytes, 30_000)).expect("it is kept");
    (spool, end)
}

/// What no one can use is freed at once, by the pool.
fn gone(disk: &FakeDisk) {
    let until = Instant::now() + Duration::from_secs(5);
    while disk.files() > 0 {
        assert!(Instant::now() < until, "a file stays");
        std::thread::yield_now();
    }
    assert_eq!(disk.used(), 0);
}

fn figure(bodies: &BodyStore, name: &str) -> u64 {
    bodies.metrics().iter().find(|f| f.0 == name).expect("a figure of that name").1
}

/// Whatever the length, the pieces, the step and the readers: what is given out is what came, byte for byte.
#[test]
fn a_body_is_given_out_as_it_came() {
    let cases = (0usize..400_000, 1usize..200_000, any::<bool>(), 0u64..3, any::<u64>(), any::<bool>());
    check_cases(160, cases, |(length, piece, told, room, seed, refuse)| {
        let disk = FakeDisk::new([0, 150 * KIB, 10 * MIB][room as usize]);
        let mut settings = settings((100 * KIB, MIB), (300 * KIB, MIB));
        settings.unkept = if refuse { Unkept::Refuse } else { Unkept::Stream };
        let bodies = bodies(&settings, &disk);
        let sent = sample_bytes(length, seed);
        let begun = bodies.begin(0, told.then_some(length as u64));
        let Ok(writer) = begun else {
            prop_assert!(refuse && length as u64 > 100 * KIB);
            return Ok(());
        };
        let spool = writer.body();
        let (first, second) = (read(spool.reader()), read(spool.reader()));
        let write = write(writer, &sent, piece);
        let (end, (first, second)) = block_on(zip(write, zip(first, second)));
        match end {
            Ok(BodyEnd::Streamed) => {
                prop_assert!(!refuse && length as u64 > 100 * KIB);
                // At least one has it all, and who has not knows that.
                let whole = [&first, &second].iter().filter(|r| r.as_ref().ok() == Some(&sent)).count();
                let told = [&first, &second].iter().filter(|r| ***r == Err(BodyReadError::PassedOn)).count();
                prop_assert!(whole >= 1 && whole + told == 2, "{} whole, {} told", whole, told);
            }
            Ok(end) => {
                prop_assert!(matches!(end, BodyEnd::InMemory | BodyEnd::InFile));
                prop_assert_eq!(end == BodyEnd::InMemory, length as u64 <= 100 * KIB);
                prop_assert!(first.as_ref() == Ok(&sent) && second.as_ref() == Ok(&sent));
            }
            Err(end) => {
                prop_assert!(refuse && matches!(end, BodyEnd::BudgetGone | BodyEnd::DiskFull), "{:?}", end);
                prop_assert!(
                    first == Err(BodyReadError::Ended(end)) && second == Err(BodyReadError::Ended(end))
                );
            }
        }
        drop(spool);
        prop_assert_eq!(bodies.usage(), (0, 0));
        Ok(())
    });
}

/// The disk fills up in the middle of a surge: bodies in flight step down and none is corrupt, what is in memory is
/// unharmed, and when there is room again files are used again.
#[test]
fn a_disk_that_fills_up_corrupts_no_body() {
    let disk = FakeDisk::new(2 * MIB);
    let bodies = bodies(&settings((64 * KIB, MIB), (MIB, 64 * MIB)), &disk);
    let payments: Vec<_> =
        (0..8).map(|i| (keep(&bodies, &sample_bytes(1_000, i)), sample_bytes(1_000, i))).collect();
    let executor = LocalExecutor::new();
    let surge: Vec<_> = (0..12u64)
        .map(|i| {
            let bodies = bodies.clone();
            executor.spawn(async move {
                let sent = sample_bytes(400_000, 100 + i);
                let writer = bodies.begin(0, Some(sent.len() as u64)).ok().expect("not too long");
                let spool = writer.body();
                let (end, got) = zip(write(writer, &sent, 20_000), read(spool.reader())).await;
                assert_eq!(got.expect("its one reader has it whole"), sent, "body {i}");
                (end.expect("not refused"), spool)
            })
        })
        .collect();
    let ended = block_on(executor.run(async {
        let mut ended = Vec::new();
        for task in surge {
            ended.push(task.await);
        }
        ended
    }));
    let count = |end| ended.iter().filter(|(e, _)| *e == end).count();
    assert!(count(BodyEnd::InFile) >= 1, "some found room");
    assert!(count(BodyEnd::Streamed) >= 1, "some did not");
    assert_eq!(count(BodyEnd::InFile) + count(BodyEnd::Streamed), 12);
    assert!(figure(&bodies, "not_stored_disk_full") >= 1 && disk.used() <= 2 * MIB);
    for ((spool, end), sent) in payments {
        assert_eq!((end, block_on(read(spool.reader()))), (BodyEnd::InMemory, Ok(sent)));
    }
    drop(ended);
    // The bodies that held the disk have gone; after its pause one body tries again.
    let until = Instant::now() + Duration::from_secs(8);
    loop {
        let sent = sample_bytes(300_000, 7);
        let writer = bodies.begin(0, Some(sent.len() as u64)).ok().expect("not too long");
        let spool = writer.body();
        let (end, got) = block_on(zip(write(writer, &sent, 20_000), read(spool.reader())));
        assert_eq!(got, Ok(sent));
        if end == Ok(BodyEnd::InFile) {
            break;
        }
        assert!(Instant::now() < until, "files are not used again: {end:?}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// A disk slower than the client is stepped away from, not waited for: what it did not take is passed on from memory.
#[test]
fn a_disk_that_hangs_is_stepped_away_from() {
    let disk = FakeDisk::new(64 * MIB);
    let bodies = bodies(&settings((64 * KIB, MIB), (8 * MIB, 64 * MIB)), &disk);
    disk.set(|c| c.hangs = true);
    let sent = sample_bytes(1_000_000, 3);
    let begun = Instant::now();
    let writer = bodies.begin(0, None).ok().expect("no length");
    let spool = writer.body();
    let (end, got) = block_on(zip(write(writer, &sent, 20_000), read(spool.reader())));
    assert_eq!((end, got), (Ok(BodyEnd::Streamed), Ok(sent)));
    assert!(begun.elapsed() < Duration::from_secs(1), "{:?}", begun.elapsed());
    assert_eq!(figure(&bodies, "not_stored_disk_slow"), 1);
    // While files are closed no other body waits for the disk at all.
    let writer = bodies.begin(0, Some(500_000)).ok().expect("not too long");
    assert_eq!(writer.body().tier(), StorageTier::NotStored);
    disk.set(|c| c.hangs = false);
}

/// What is read back is checked: nothing doubtful is given out.
#[test]
fn a_block_that_does_not_check_out_is_not_given_out() {
    let disk = FakeDisk::new(64 * MIB);
    let bodies = bodies(&settings((64 * KIB, MIB), (8 * MIB, 64 * MIB)), &disk);
    disk.set(|c| c.forgets_after = Some(2));
    let sent = sample_bytes(5 * BLOCK_BYTES, 9);
    let (spool, end) = keep(&bodies, &sent);
    assert_eq!(end, BodyEnd::InFile);
    let (mut reader, mut out) = (spool.reader(), Vec::new());
    let fault = block_on(async {
        loop {
            match reader.next(&mut out).await {
                Ok(true) => {}
                other => return other,
            }
        }
    });
    assert_eq!(fault, Err(BodyReadError::Corrupt));
    assert_eq!(out, sent[..2 * BLOCK_BYTES], "what came before it was sound");
    disk.set(|c| c.reads_fail = true);
    assert_eq!(block_on(read(spool.reader())), Err(BodyReadError::Failed));
}

/// A write that fails leaves the body whole: the part on the disk and the part in memory are one body.
#[test]
fn a_disk_that_fails_in_mid_body_loses_nothing() {
    let disk = FakeDisk::new(64 * MIB);
    let bodies = bodies(&settings((64 * KIB, MIB), (8 * MIB, 64 * MIB)), &disk);
    let sent = sample_bytes(700_000, 4);
    let mut writer = bodies.begin(0, None).ok().expect("no length");
    let spool = writer.body();
    let end = block_on(async {
        writer.push(&sent[..300_000]).await?;
        disk.set(|c| c.writes_fail = true);
        let (end, got) = zip(write(writer, &sent[300_000..], 9_999), read(spool.reader())).await;
        assert_eq!(got, Ok(sent.clone()));
        end
    });
    assert_eq!(end, Ok(BodyEnd::Streamed));
    assert_eq!(figure(&bodies, "not_stored_disk_failed"), 1);
    gone(&disk);
}

/// A body that outgrows memory while executions are already reading it, and one of them is cancelled in mid read.
#[test]
fn a_body_moves_to_a_file_while_it_is_read() {
    let disk = FakeDisk::new(64 * MIB);
    let bodies = bodies(&settings((2 * MIB, 3 * MIB), (8 * MIB, 64 * MIB)), &disk);
    let sent = sample_bytes(1_500_000, 5);
    let (spool, end) = keep(&bodies, &sent);
    assert_eq!((end, disk.files()), (BodyEnd::InMemory, 0));
    block_on(or(bodies.clone().run_spiller(), async {
        let (mut reader, mut cancelled) = (spool.reader(), spool.reader());
        let mut out = Vec::new();
        assert_eq!(reader.next(&mut out).await, Ok(true));
        assert_eq!(cancelled.next(&mut Vec::new()).await, Ok(true));
        // The operators shrink the budget under load.
        bodies.configure(&settings((64 * KIB, MIB), (8 * MIB, 64 * MIB)), Some(Arc::new(disk.clone())));
        while figure(&bodies, "bodies_spilled") == 0 {
            assert_eq!(reader.next(&mut out).await, Ok(true), "it is moved before it is read to its end");
            futures_lite::future::yield_now().await;
            async_io::Timer::after(Duration::from_millis(5)).await;
        }
        assert_eq!((spool.tier(), bodies.usage()), (StorageTier::File, (0, 1_500_000)));
        // Its read from the file is begun and not waited for.
        let _ = poll_once(cancelled.next(&mut Vec::new())).await;
        drop(cancelled);
        let (first, second) = zip(read(spool.reader()), read(spool.reader())).await;
        assert!(first.as_ref() == Ok(&sent) && second.as_ref() == Ok(&sent), "two read one file");
        while reader.next(&mut out).await == Ok(true) {}
        assert_eq!(out, sent, "what was in memory and what was in the file");
    }));
}

/// A body that is not kept holds no more than a fixed buffer, however fast it comes.
#[test]
fn a_body_that_is_not_kept_waits_for_its_reader() {
    let bodies = BodyStore::new(&settings((64 * KIB, MIB), (MIB, MIB)), 1, None, || None);
    let mut writer = bodies.begin(0, Some(10 * MIB)).ok().expect("not too long");
    let spool = writer.body();
    assert_eq!(spool.tier(), StorageTier::NotStored);
    let sent = sample_bytes(BLOCK_BYTES, 1);
    block_on(async {
        writer.push(&sent).await.expect("there is room");
        assert!(poll_once(writer.push(&sent)).await.is_none(), "no room for a second block");
        let (mut reader, mut out) = (spool.reader(), Vec::new());
        assert_eq!(reader.next(&mut out).await, Ok(true));
        assert!(reader.consumes() && spool.is_consumed());
        assert!(poll_once(reader.next(&mut out)).await.is_none());
        writer.push(&sent).await.expect("what was passed on has made room");
        assert_eq!(read(spool.reader()).await, Err(BodyReadError::PassedOn), "no one else can have it whole");
    });
}

/// A body whose file has no descriptor is not kept either, and waits for its reader as any such body does.
#[test]
fn a_body_without_a_descriptor_for_its_file_is_held_to_the_window() {
    let disk = FakeDisk::new(64 * MIB);
    let settings = settings((64 * KIB, MIB), (8 * MIB, 64 * MIB));
    let bodies = BodyStore::new(&settings, 1, Some(Arc::new(disk.clone())), || None);
    let mut writer = bodies.begin(0, None).ok().expect("no length");
    let spool = writer.body();
    let sent = sample_bytes(BLOCK_BYTES, 1);
    block_on(async {
        for _ in 0..3 {
            writer.push(&sent).await.expect("memory, what outgrew it, and one window");
        }
        assert_eq!((spool.tier(), disk.files()), (StorageTier::NotStored, 0));
        assert!(poll_once(writer.push(&sent)).await.is_none(), "no room beyond the window");
        drop(writer);
        assert_eq!(read(spool.reader()).await, Err(BodyReadError::Ended(BodyEnd::Refused)));
    });
    assert_eq!((figure(&bodies, "not_stored_budget"), bodies.usage()), (1, (0, 0)));
}

/// While nothing that is not kept was passed on, another execution can have the whole body.
#[test]
fn the_kept_front_of_a_body_can_be_sent_again() {
    let bodies = BodyStore::new(&settings((128 * KIB, 128 * KIB), (MIB, MIB)), 1, None, || None);
    let mut writer = bodies.begin(0, None).ok().expect("no length");
    let spool = writer.body();
    let sent = sample_bytes(200_000, 2);
    block_on(async {
        for piece in sent[..120_000].chunks(10_000) {
            writer.push(piece).await.expect("room");
        }
        let mut broken = spool.reader();
        let mut lost = Vec::new();
        assert_eq!(broken.next(&mut lost).await, Ok(true));
        drop(broken);
        assert!(!spool.is_consumed());
        let (end, got) = zip(write(writer, &sent[120_000..], 10_000), read(spool.reader())).await;
        assert_eq!((end, got), (Ok(BodyEnd::Streamed), Ok(sent.clone())));
        assert!(spool.is_consumed());
    });
}

/// A client that stops in mid-body frees everything at once, and its executions know that it is not whole.
#[test]
fn a_client_that_stops_frees_everything_at_once() {
    let disk = FakeDisk::new(64 * MIB);
    let bodies = bodies(&settings((64 * KIB, MIB), (8 * MIB, 64 * MIB)), &disk);
    let mut writer = bodies.begin(0, Some(MIB)).ok().expect("not too long");
    let spool = writer.body();
    block_on(writer.push(&sample_bytes(500_000, 1))).expect("it is kept");
    assert_eq!((disk.files(), bodies.usage().1), (1, 500_000));
    assert_eq!(writer.end(BodyEnd::ClientBroke), BodyEnd::ClientBroke);
    assert_eq!(bodies.usage(), (0, 0));
    assert_eq!(block_on(read(spool.reader())), Err(BodyReadError::Ended(BodyEnd::ClientBroke)));
    drop(writer);
    assert_eq!(figure(&bodies, "body_client_disconnected"), 1, "one end each");
    gone(&disk);
}

/// Each end that needs no disk, as the counters tell it.
#[test]
fn every_end_is_counted_by_its_name() {
    let mut refusing = settings((64 * KIB, 64 * KIB), (MIB, MIB));
    (refusing.largest_bytes, refusing.unkept) = (MIB, Unkept::Refuse);
    let bodies = BodyStore::new(&refusing, 1, None, || None);
    for (length, end) in [(MIB + 1, BodyEnd::TooLong), (MIB, BodyEnd::BudgetGone)] {
        let (found, spool) = bodies.begin(0, Some(length)).err().expect("it is not taken");
        assert_eq!((found, spool.end()), (end, Some(end)));
    }
    drop(bodies.begin(0, Some(9)));
    let mut writer = bodies.begin(0, Some(9)).ok().expect("it fits");
    block_on(writer.push(b"some")).expect("it fits");
    drop(writer);
    bodies.begin(0, Some(9)).ok().expect("it fits").end(BodyEnd::TooSlow);
    for (name, count) in [
        ("body_too_large", 1),
        ("body_budget_exhausted", 1),
        ("body_never_started", 1),
        ("body_request_concluded", 1),
    ] {
        assert_eq!(figure(&bodies, name), count, "{name}");
    }
    assert_eq!(figure(&bodies, "body_too_slow"), 1);
    assert_eq!(bodies.usage(), (0, 0));
}
