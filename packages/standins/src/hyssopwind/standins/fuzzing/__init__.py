"""Fuzzing of the places where a process decodes what others write."""
