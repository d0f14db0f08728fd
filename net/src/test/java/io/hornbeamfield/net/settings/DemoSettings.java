package io.hornbeamfield.net.settings;

import java.util.List;

record DemoSettings(String name, int port, List<Place> places) {
    record Place(String zone) {}
}
