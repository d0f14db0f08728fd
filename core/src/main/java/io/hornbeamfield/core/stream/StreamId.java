package io.hornbeamfield.core.stream;

/**
 * Identifies a stream by the attempt of its caller that brought its first event.
 *
 * @param workspace workspace of the caller, empty if callers need no key; another workspace's stream has another id
 * @param attemptId id of the attempt, as the caller chose it
 */
public record StreamId(String workspace, String attemptId) {
    // Those of a record are generated when they are first used, which delays each start.
    @Override
    public int hashCode() {
        return 31 * workspace.hashCode() + attemptId.hashCode();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof StreamId o && workspace.equals(o.workspace) && attemptId.equals(o.attemptId);
    }
}
