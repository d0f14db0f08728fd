package io.hornbeamfield.core.admission;

import io.hornbeamfield.core.config.Priority;

/**
 * A request for an execution slot. The cost, for example the number of reserved tokens, is the unit of fair queueing
 * between workspaces.
 */
public record AdmissionRequest(String workspace, Priority priority, Deadline deadline, long cost) {}
