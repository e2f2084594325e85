"""Tests of balsamtide."""
