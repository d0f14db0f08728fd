package io.hornbeamfield.core.admission;

import io.hornbeamfield.core.config.Priority;

/**
 * A request for a place among the running ones. The cost, for example the reserved tokens, is what a workspace's share
 * is counted in.
 */
public record AdmissionRequest(String workspace, Priority priority, Deadline deadline, long cost) {}
