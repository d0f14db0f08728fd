package io.hornbeamfield.net.platform;

import java.util.List;

/** A page of objects in the order of their keys. */
public record ObjectPage(List<VersionedValue> objects, boolean more) {}
