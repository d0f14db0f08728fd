package io.hornbeamfield.net.platform;

import java.util.List;

/** A page of objects in key order, and whether more objects follow it. */
public record ObjectPage(List<VersionedValue> objects, boolean more) {}
