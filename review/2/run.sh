#!/bin/sh
exec "$(dirname "$0")/../run-case.sh" SilentStoreCase review/2
