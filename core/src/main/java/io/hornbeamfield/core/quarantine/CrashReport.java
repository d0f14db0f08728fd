package io.hornbeamfield.core.quarantine;

import java.util.List;
import java.util.Set;

/**
 * The end of a backend server as one instance has seen it. Several instances report the same crash, each with its own
 * requests.
 *
 * @param service service of the server
 * @param server incarnation of the server, which can crash only once
 * @param requests parts of the prompts that this instance had at the server and whose answers had not begun
 */
public record CrashReport(String service, String server, List<Set<String>> requests) {
    public CrashReport {
        requests = requests.stream().map(Set::copyOf).distinct().toList();
    }
}
