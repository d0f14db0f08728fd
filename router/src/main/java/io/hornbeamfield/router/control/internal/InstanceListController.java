package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.net.platform.InstanceInfo;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Reads the platform's instance list. The list lags and can be wrong: only its statement that an instance is leaving is
 * used, an absent instance is not taken for gone.
 */
final class InstanceListController {
    private static final Duration MIN_PERIOD = Duration.ofSeconds(5);
    /** An entry has about 100 bytes, so that reading the list takes at most 5 KB/s. */
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

    /** Returns whether the list says that an instance is leaving. Callable from any thread. */
    boolean isListedAsLeaving(String id) {
        InstanceInfo info = instances.get(id);
        return info != null && info.state() == ServerState.LEAVING;
    }

    /** Returns the number of instances in the list. */
    int size() {
        return instances.size();
    }
}
