package io.hornbeamfield.router.traffic;

import io.hornbeamfield.core.quarantine.CrashJournal;
import io.hornbeamfield.core.quarantine.PartActivity;
import io.hornbeamfield.core.time.MonotonicClock;
import io.hornbeamfield.router.Blackboard;
import io.hornbeamfield.router.CrashService;
import java.time.Clock;
import java.util.Collection;

/** Judges crashes that one router has seen, without other routers. */
final class LocalCrashes implements CrashService {
    private final Clock clock = MonotonicClock.start();
    private final PartActivity activity = new PartActivity(clock);
    private final CrashJournal journal = new CrashJournal(clock, activity);
    private final Blackboard board;

    LocalCrashes(Blackboard board) {
        this.board = board;
    }

    @Override
    public PartActivity activity() {
        return activity;
    }

    @Override
    public synchronized void engineCrashed(String model, String engine, Collection<String> parts) {
        journal.serverCrashed(model, engine, parts);
        board.publishQuarantine(journal.assess());
    }
}
