package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.net.platform.InstanceInfo;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Polls the platform's instance list. The list lags and can be wrong, so only its leaving state is used: an instance
 * that is absent from the list is not treated as gone.
 */
final class InstanceListController {
    private static final Duration MIN_PERIOD = Duration.ofSeconds(5);
    /** An entry has about 100 bytes; this spacing limits the reads of the list to 5 KB/s. */
    private static final Duration PERIOD_PER_ENTRY = Duration.ofMillis(20);

    private final ControlContext context;
    private volatile Map<String, InstanceInfo> instances = Map.of();

    InstanceListController(ControlContext context) {
        this.context = context;
    }

    void start() {
        context.loop()
                .onDone(
                        context.platform().instances(),
                        list -> {
                            accept(list);
                            scheduleNextRead();
                        },
                        failure -> scheduleNextRead());
    }

    private void accept(List<InstanceInfo> list) {
        instances =
                list.stream().collect(Collectors.toUnmodifiableMap(InstanceInfo::id, Function.identity(), (a, b) -> b));
    }

    private void scheduleNextRead() {
        context.loop().after(MIN_PERIOD.plus(PERIOD_PER_ENTRY.multipliedBy(instances.size())), this::start);
    }

    /** Returns whether the list marks an instance as leaving. Thread-safe. */
    boolean isListedAsLeaving(String id) {
        InstanceInfo info = instances.get(id);
        return info != null && info.state() == ServerState.LEAVING;
    }

    /** Returns the number of instances in the list. */
    int size() {
        return instances.size();
    }
}
