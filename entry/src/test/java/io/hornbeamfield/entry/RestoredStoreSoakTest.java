package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.platform.standin.FakeBackendServer;
import io.hornbeamfield.platform.standin.FakeStore;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Restores the store to older copies while daemons in processes of their own are killed, stopped and frozen and the
 * store falls silent, and judges what the callers get. The properties {@code entry.seed} and {@code entry.soakMs} set
 * the seed and the length.
 */
final class RestoredStoreSoakTest {
    private static final long SEED = Long.getLong("entry.seed", 1);
    private static final long LENGTH_MS = Long.getLong("entry.soakMs", 15_000);
    private static final int DAEMONS = 3;
    private static final long PLENTIFUL_TOTAL = 1_000_000;

    /** Used up within a run. */
    private static final long SMALL_TOTAL = 1_500;

    private static final long COPY_EVERY_MS = 200;
    private static final int OLDEST_COPY = 20;

    /** Time within which a change must be in force, in milliseconds. */
    private static final long ADOPTION_MS = 2_000;

    @TempDir
    private Path directory;

    private final EntryFixture fleet = new EntryFixture();
    private final Random random = new Random(SEED);
    private final PriorityQueue<Step> steps = new PriorityQueue<>(Comparator.comparingLong(Step::atMs));
    private final Deque<FakeStore.Copy> copies = new ArrayDeque<>();
    private final List<String> played = new ArrayList<>();
    private long version;
    private int restores;

    private record Step(long atMs, String name, Runnable action) {}

    @AfterEach
    void stop() {
        fleet.close();
    }

    private void add(long atMs, String name, Runnable action) {
        steps.add(new Step(atMs, name, action));
    }

    private long within(long least, long most) {
        return random.nextLong(least, most + 1);
    }

    /** Restores and silences of the store, one after the other; two restores may follow within moments. */
    private void planStore() {
        for (long at = within(500, 2_000); at < LENGTH_MS; at += within(100, 2_500)) {
            boolean restore = random.nextInt(3) > 0;
            FakeStore.Mode away = random.nextBoolean() ? FakeStore.Mode.SILENT : FakeStore.Mode.UNAVAILABLE;
            int age = random.nextInt(OLDEST_COPY);
            add(at, "store " + away, () -> fleet.store.mode(away));
            at += within(50, 1_500);
            add(at, restore ? "store restored from copy " + age : "store back", () -> {
                if (restore) {
                    restore(age);
                }
                fleet.store.mode(FakeStore.Mode.NORMAL);
            });
            add(at + within(0, 1_500), "written again", this::writeAgain);
        }
        for (long at = 0; at < LENGTH_MS; at += COPY_EVERY_MS) {
            add(at, "", this::copy);
        }
        for (long at = 700; at < LENGTH_MS; at += within(300, 2_000)) {
            add(at, "configuration", () -> fleet.configure(++version));
        }
    }

    private void copy() {
        copies.addFirst(fleet.store.copy());
        if (copies.size() > OLDEST_COPY) {
            copies.removeLast();
        }
    }

    private void restore(int age) {
        List<FakeStore.Copy> newestFirst = List.copyOf(copies);
        fleet.store.restore(newestFirst.get(Math.min(age, newestFirst.size() - 1)));
        restores++;
    }

    private void writeAgain() {
        if (fleet.store.content("config", "main").path("version").asLong() < version) {
            fleet.configure(version);
        }
        for (FakeBackendServer server : fleet.runners) {
            if (fleet.store.content("servers", server.id()).isMissingNode()) {
                server.register(fleet.store, false);
            }
        }
    }

    private void planDaemon(SoakDaemons.Daemon d) {
        for (long at = within(500, 4_000); at < LENGTH_MS; at += within(1_500, 5_000)) {
            int kind = random.nextInt(3);
            long until = at + within(200, 2_500);
            if (kind == 0) {
                add(at, "kill " + d.address(), d::kill);
                add(until, "start " + d.address(), d::start);
            } else if (kind == 1) {
                add(at, "stop " + d.address(), d::stop);
                add(until, "start " + d.address(), d::startAfterStop);
            } else {
                add(at, "freeze " + d.address(), d::freeze);
                add(until, "resume " + d.address(), d::resume);
            }
            at = until;
        }
    }

    private void runSteps() throws InterruptedException {
        long start = System.nanoTime();
        while (!steps.isEmpty()) {
            Step step = steps.poll();
            long aheadMs = step.atMs() - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
            Thread.sleep(Math.max(0, aheadMs));
            if (!step.name().isEmpty()) {
                played.add(step.atMs() + " " + step.name());
            }
            step.action().run();
        }
    }

    @Test
    void restoresAmongKillsStopsFreezesAndSilencesBreakNoPromise() throws InterruptedException {
        play(PLENTIFUL_TOTAL);
    }

    /** Guards against tokens that are taken again because a copy does not show who has taken them. */
    @Test
    void restoresAmongKillsStopsFreezesAndSilencesSpendNoTotalTwice() throws InterruptedException {
        play(SMALL_TOTAL);
    }

    private void play(long total) throws InterruptedException {
        fleet.prepaid(total);
        try (SoakDaemons daemons = new SoakDaemons(directory);
                SoakTraffic traffic = new SoakTraffic(daemons.all())) {
            startServers(traffic);
            fleet.configure(++version);
            copy();
            for (int i = 0; i < DAEMONS; i++) {
                daemons.add(fleet.newSettings("entry-" + i, fleet.store.address()));
            }
            daemons.awaitReady();
            planStore();
            daemons.all().forEach(this::planDaemon);
            traffic.start(new Random(SEED));
            runSteps();
            daemons.awaitReady();
            List<String> violations = traffic.stopAndJudge();
            System.out.println("seed " + SEED + ": " + restores + " restores, " + traffic.served() + ", tokens "
                    + traffic.usedTokens() + " of " + total);
            assertThat(violations).as("seed %d: %s", SEED, played).isEmpty();
            assertThat(traffic.usedTokens()).as("seed %d: %s", SEED, played).isLessThanOrEqualTo(total);
            assertThat(traffic.served()).containsKeys("read 200", "write 200", "whole streams");
            assertEachFollowsTheOperator(daemons);
        }
    }

    private void startServers(SoakTraffic traffic) {
        for (int i = 0; i < 2; i++) {
            traffic.respond(fleet.runner("p-" + i, "plain"), new Random(SEED));
            traffic.stream(fleet.versionedRunner("old-" + i, "model", "1.0"), "1.0", new Random(SEED));
            traffic.stream(fleet.versionedRunner("new-" + i, "model", "1.1"), "1.1", new Random(SEED));
        }
    }

    private void assertEachFollowsTheOperator(SoakDaemons daemons) throws InterruptedException {
        fleet.configure(++version, "write");
        Thread.sleep(ADOPTION_MS);
        for (SoakDaemons.Daemon d : daemons.all()) {
            assertThat(status(d, "POST", "/write/last")).isEqualTo(404);
        }
        fleet.configure(++version);
        Thread.sleep(ADOPTION_MS);
        for (SoakDaemons.Daemon d : daemons.all()) {
            assertThat(status(d, "POST", "/write/last")).isNotEqualTo(404);
        }
    }

    private static int status(SoakDaemons.Daemon d, String method, String path) {
        return Caller.send(d.address(), method, path, EntryFixture.KEY, EntryFixture.ID, EntryFixture.DEADLINE)
                .status();
    }
}
